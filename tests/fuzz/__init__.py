"""Fuzzing of the decoders that face other processes, disks and people."""
