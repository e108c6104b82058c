"""Where a stream may go on, by the software version that began it.

What two software versions of a service generate does not fit together, so
the later events of a stream come from the version that wrote the first one.
"""

from dataclasses import dataclass

from goldcrestyard.core.ids import ServiceName, SoftwareVersion
from goldcrestyard.core.records import Target


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version that wrote the first event of a stream."""

    service: ServiceName
    software: SoftwareVersion

    def fits(self, target: Target) -> bool:
        """Return whether the present run of a target may continue the stream.

        A version that is not known may be another one each time.
        """
        return (
            self.software != ""
            and target.software == self.software
            and self.service in target.serves
        )
