"""The deployment of the demo: three instances and all stand-ins."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any

from demo.deployment import Deployment, Instance, free_port, wait_for
from demo.fakes.trainer import TrainerClient

MODEL = "inspect-lm"
SERVICE = "quotedesk"
ORGANISATION = "tejo"
WEIGHTS_BYTES = 200_000

ROUTES = [
    {"prefix": "/quote", "idempotent": True},
    {"prefix": "/book", "idempotent": False},
    {"prefix": "/public", "idempotent": True, "open": True},
]


def instances() -> list[Instance]:
    """Return one instance in each data centre, all of them control members."""
    return [
        Instance("lisboa-a-1", "lisboa-a", "lisboa", control=True),
        Instance("lisboa-b-1", "lisboa-b", "lisboa", control=True),
        Instance("porto-a-1", "porto-a", "porto", control=True),
    ]


@dataclass
class DemoDeployment:
    """The processes of the demo, with the keys and addresses to use them."""

    deployment: Deployment
    key: str = ""
    withdrawn_key: str = ""
    engines: tuple[str, ...] = ()
    service: str = ""
    store: str = ""
    platform: str = ""
    usage_interface: str = ""

    @classmethod
    def create(cls) -> "DemoDeployment":
        """Return a deployment that is not started yet."""
        return cls(Deployment(instances()))

    async def start(self) -> None:
        """Start all processes and declare what the steps need."""
        deployment = self.deployment
        self.store = await self._start_stand_in("weight_store", size=WEIGHTS_BYTES)
        self.platform = await self._start_stand_in("platform")
        self.usage_interface = await self._start_stand_in("usage_interface")
        deployment.overrides_by_section = {
            "platform": {
                "address": self.platform,
                "checks_fencing": True,
                "honours_keys": True,
                "min_on_demand": 2,
                "plan_seconds": 0.5,
                "terms_by_data_centre": {
                    "lisboa-a": {"on_demand_price": 3.0, "reclaimable_price": 1.0},
                    "porto-a": {"on_demand_price": 2.0, "reclaimable_price": 1.0},
                },
            },
            "usage": {
                "address": self.usage_interface,
                "window_seconds": 2,
                "grace_seconds": 1.0,
                "flush_seconds": 0.5,
            },
        }
        await deployment.start()
        self.engines = (
            await deployment.start_engine("engine-1", MODEL, deployment.instances[0]),
            await deployment.start_engine("engine-2", MODEL, deployment.instances[2]),
        )
        self.service = await deployment.start_service(
            "desk-1", SERVICE, deployment.instances[1]
        )
        self.key = await deployment.add_organisation(ORGANISATION)
        self.withdrawn_key = await deployment.grant_key(ORGANISATION)
        await deployment.withdraw_key(self.withdrawn_key)
        await deployment.put_service(SERVICE, ROUTES, [ORGANISATION])
        await deployment.declare(
            "models", MODEL, {"trainer": ORGANISATION, "max_versions_behind": 1}
        )

    def trainer(self) -> TrainerClient:
        """Return a client of the trainers' interface."""
        return TrainerClient(self.deployment.entries, self.key)

    def description(self) -> dict[str, Any]:
        """Return addresses, keys and names for programs that use the demo."""
        entries = self.deployment.entries
        return {
            "addresses_url": f"http://{entries[0]}/addresses",
            "base_urls": [f"http://{entry}/v1" for entry in entries],
            "key": self.key,
            "withdrawn_key": self.withdrawn_key,
            "model": MODEL,
            "service_url": f"http://{entries[0]}/services/{SERVICE}/quote",
            "metrics_urls": [
                f"http://{instance.admin}/metrics"
                for instance in self.deployment.instances
            ],
        }

    async def stop(self) -> None:
        """Stop everything that was started."""
        await self.deployment.stop()

    async def _start_stand_in(self, name: str, **options: Any) -> str:
        """Start a stand-in of an outside system; return its address."""
        address = f"127.0.0.1:{free_port()}"
        arguments = [f"--port={address.split(':')[1]}"]
        arguments += [f"--{key}={value}" for key, value in options.items()]
        await self.deployment.start_process(name, f"demo.fakes.{name}", *arguments)

        async def answers(session: Any) -> bool:
            async with session.get(f"http://{address}/fake/state") as answer:
                return bool(answer.status < 500)

        await wait_for(answers, f"{name} to answer")
        return address


def goldcrest(folder: Path, deployment: Deployment) -> list[str]:
    """Write the operator key to a file and return the options of the tool."""
    key_file = folder / "operator-key"
    key_file.write_text(deployment.operator_key)
    servers = [f"--server={instance.admin}" for instance in deployment.instances]
    return [*servers, f"--key-file={key_file}"]
