"""Identifiers.  Each is a distinct type, so that ids cannot be mixed up."""

import uuid
from typing import NewType

InstanceId = NewType("InstanceId", str)
Region = NewType("Region", str)
DataCentre = NewType("DataCentre", str)

OrganisationId = NewType("OrganisationId", str)
KeyId = NewType("KeyId", str)
KeyHash = NewType("KeyHash", str)

TargetId = NewType("TargetId", str)
ModelName = NewType("ModelName", str)
ServiceName = NewType("ServiceName", str)
WeightVersion = NewType("WeightVersion", int)
"""A number that rises with each publication of a model line."""

RequestId = NewType("RequestId", str)
"""Chosen by the caller, or by the entry when the caller sent none."""
AttemptId = NewType("AttemptId", str)
"""Chosen by the entry for each time a request is sent to a target."""


def new_attempt_id() -> AttemptId:
    """Return a new attempt id."""
    return AttemptId(uuid.uuid4().hex)


CorrelationId = NewType("CorrelationId", str)

StepNumber = NewType("StepNumber", int)
GroupId = NewType("GroupId", str)
SampleId = NewType("SampleId", str)
BatchId = NewType("BatchId", str)

RouteName = NewType("RouteName", str)
JobId = NewType("JobId", str)
"""A batch of items that a trainer submits at once."""
ItemId = NewType("ItemId", str)
ConfigVersion = NewType("ConfigVersion", int)
"""Chosen by the operator; a higher version replaces a lower one."""
EventNumber = NewType("EventNumber", int)
"""Position of an event in the stream of one request, counted from 1."""

OrderId = NewType("OrderId", str)
PlanNumber = NewType("PlanNumber", int)

Term = NewType("Term", int)
LogIndex = NewType("LogIndex", int)
Revision = NewType("Revision", int)
"""The log index of the last committed change that entries must know."""

BodyDigest = NewType("BodyDigest", str)
"""SHA-256 of a stored body, in hexadecimal."""
