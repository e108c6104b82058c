"""Settings of a control member."""

from dataclasses import dataclass
from typing import ClassVar

from goldcrestyard.kernel.settings import setting


@dataclass(frozen=True)
class ControlSettings:
    """The ``[control]`` section; only on instances with a disk."""

    OPTIONAL: ClassVar[bool] = True

    data_folder: str = setting("Folder for the replicated log and stored bodies.")
