"""Exceptions of the storage layer, with the action that each requires."""

import errno

DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)


class StorageError(Exception):
    """Base class of the storage layer's exceptions."""


class CorruptLogError(StorageError):
    """The log is damaged or incomplete; replace this member.

    A torn record at the end of the log is not an error.
    """


class CorruptFileError(StorageError):
    """A vote or snapshot file is damaged; replace this member."""


class FolderInUseError(StorageError):
    """Another process uses the data folder; stop it first."""


class DiskError(StorageError):
    """A write or sync failed; that write and later ones are not durable."""
