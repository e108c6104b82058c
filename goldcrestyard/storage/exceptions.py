"""Exceptions of the storage layer; each says what to do."""


class StorageError(Exception):
    """Base class of the storage layer's exceptions."""


class CorruptLogError(StorageError):
    """A log entry before the tail is damaged; replace this member."""


class DiskError(StorageError):
    """A write or a sync failed; nothing after it counts as durable."""
