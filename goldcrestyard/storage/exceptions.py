"""Exceptions of the storage layer; each says what to do."""


class StorageError(Exception):
    """Base class of the storage layer's exceptions."""


class CorruptLogError(StorageError):
    """A log entry before the tail is damaged; replace this member."""


class CorruptFileError(StorageError):
    """A file that is replaced as a whole is damaged; replace this member."""


class FolderInUseError(StorageError):
    """Another process uses the data folder; stop it first."""


class DiskError(StorageError):
    """A write or a sync failed; nothing after it counts as durable."""
