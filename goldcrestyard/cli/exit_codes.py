"""Exit codes of ``goldcrest``; scripts rely on them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_YET_IN_FORCE = 3
    UNKNOWN = 4


HELP_BY_CODE = {
    ExitCode.DONE: "done; a change is in force on every entry",
    ExitCode.REFUSED: "refused, nothing was changed",
    ExitCode.USAGE: "wrong arguments, profile or file",
    ExitCode.NOT_YET_IN_FORCE: "committed, but some entries are still behind",
    ExitCode.UNKNOWN: "no instance answered, or the outcome is not known",
}
