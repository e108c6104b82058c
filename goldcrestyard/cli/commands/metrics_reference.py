"""``goldcrest metrics reference``."""

from goldcrestyard.cli.base import JSON_OPTION, BaseCommand
from goldcrestyard.cli.exit_codes import ExitCode
from goldcrestyard.plugins.metrics.metrics import reference_lines


class Command(BaseCommand):
    """Prints the reference of all metrics from their declarations."""

    description = "Print the reference of all metrics (source of docs/metrics.md)."
    options = [JSON_OPTION]
    examples = ("metrics reference > docs/metrics.md", "metrics reference --json")

    def handle(self) -> int:
        """Print the reference."""
        lines = list(reference_lines())
        self.show({"markdown": "\n".join(lines)}, lines)
        return ExitCode.DONE
