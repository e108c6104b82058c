"""``goldcrest config check``."""

import asyncio
from collections import Counter
from collections.abc import Iterator, Sequence
from pathlib import Path

from cleo.helpers import argument, option

from goldcrestyard.cli.base import JSON_OPTION, BaseCommand
from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.core.decoding import is_address
from goldcrestyard.core.ids import Region
from goldcrestyard.core.serving import ServingConfig
from goldcrestyard.policy.configuration_review import (
    Finding,
    Level,
    review,
    undecodable,
)


class Command(BaseCommand):
    """Checks a configuration document of the platform before it is sent."""

    description = "Check a platform's configuration document before it is sent."
    arguments = [argument("file", "Configuration: the JSON document to be sent.")]
    options = [
        option("in-force", None, "File with the document to compare with.", flag=False),
        option(
            "address",
            "a",
            "Address (host:port) of a control member; the document is compared "
            "with the one in force there.",
            flag=False,
        ),
        option(
            "region",
            "r",
            "A region of the deployment; if any is given, home regions must be "
            "among them. Repeat the option to name several.",
            flag=False,
            multiple=True,
        ),
        JSON_OPTION,
    ]
    examples = (
        "config check new.json",
        "config check new.json --in-force old.json",
        "config check new.json --address 127.0.0.1:7001 --region r1 --region r2",
    )
    exit_codes = (
        ExitCode.DONE,
        ExitCode.REFUSED,
        ExitCode.USAGE,
        ExitCode.UNKNOWN,
        ExitCode.WARNINGS,
    )

    def handle(self) -> int:
        """Read both documents and print the findings."""
        # Imported here: the tool starts without the platform.
        from goldcrestyard.platform.documents import decode_for_review

        address, in_force_path = self.option("address"), self.option("in-force")
        if address and in_force_path:
            return self.fail(ExitCode.USAGE, "give --address or --in-force, not both")
        if address and not is_address(address):
            return self.fail(ExitCode.USAGE, f"--address {address} is not host:port")
        path = Path(self.argument("file"))
        try:
            body = path.read_bytes()
            old_body = Path(in_force_path).read_bytes() if in_force_path else None
        except OSError as error:
            return self.fail(ExitCode.USAGE, f"a file cannot be read: {error}")
        config = decode_for_review(body)
        if not isinstance(config, ServingConfig):
            return self._report(undecodable(config), None, None)
        if address:
            old_body = asyncio.run(self._read(address))
            if old_body is None:
                return ExitCode.UNKNOWN
        in_force = None
        if old_body is not None:
            decoded = decode_for_review(old_body)
            if not isinstance(decoded, ServingConfig):
                code = ExitCode.UNKNOWN if address else ExitCode.USAGE
                return self.fail(
                    code,
                    f"the document in force cannot be decoded: {decoded[0]}\n"
                    "  nothing was compared; check where it came from",
                )
            in_force = decoded
        regions = [Region(name) for name in self.option("region")] or None
        return self._report(review(config, in_force, regions), config, in_force)

    async def _read(self, address: str) -> bytes | None:
        from goldcrestyard.platform.configuration_client import Unread, read_in_force

        answer = await read_in_force(address)
        if isinstance(answer, Unread):
            self.fail(
                ExitCode.UNKNOWN,
                f"the document in force cannot be read: {answer.detail}\n"
                "  nothing was checked; name another control member, or leave out "
                "--address to check without a comparison",
            )
            return None
        return answer

    def _report(
        self,
        findings: Sequence[Finding],
        config: ServingConfig | None,
        in_force: ServingConfig | None,
    ) -> int:
        counts = Counter(finding.level for finding in findings)
        data = {
            "version": None if config is None else config.version,
            "in_force": None if in_force is None else in_force.version,
            "counts": {level.value: counts[level] for level in Level},
            "findings": findings,
        }
        self.show(data, _lines(findings, counts, in_force))
        if counts[Level.ERROR]:
            return ExitCode.REFUSED
        return ExitCode.WARNINGS if counts[Level.WARNING] else ExitCode.DONE


def _lines(
    findings: Sequence[Finding],
    counts: Counter[Level],
    in_force: ServingConfig | None,
) -> Iterator[str]:
    for finding in findings:
        level = finding.level.value
        yield f"{level} {finding.id} {finding.about}: {finding.message}"
        if finding.hint:
            yield f"  {finding.hint}"
    totals = ", ".join(f"{level.value}s: {counts[level]}" for level in Level)
    compared = (
        "not compared with a version in force"
        if in_force is None
        else f"compared with version {in_force.version}"
    )
    yield f"{totals}; {compared}"
