"""Exit codes of ``goldcrest``, on which scripts rely."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NOT_YET_IN_FORCE = 3
    UNKNOWN = 4
    WARNINGS = 5


HELP_BY_CODE = {
    ExitCode.DONE: "done; a change is in force on every entry",
    ExitCode.REFUSED: "refused; nothing was changed; a checked file has errors",
    ExitCode.USAGE: "invalid arguments, profile or file; nothing was sent",
    ExitCode.NOT_YET_IN_FORCE: "committed, but not yet in force on every entry",
    ExitCode.UNKNOWN: "no answer or unknown outcome; see 'goldcrest audit'",
    ExitCode.WARNINGS: "a checked file has warnings, but no errors",
}
