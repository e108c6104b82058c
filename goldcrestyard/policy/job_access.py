"""Which organisations may read and end a job.

A configuration may name organisations at one time and none at another, and an
organisation may be renamed or come back.  A job stays with the organisation
whose key submitted it.
"""

from goldcrestyard.core.ids import OrganisationId


def owner_of(
    organisation: OrganisationId | None,
    key_holder: OrganisationId | None,
    *,
    is_configured: bool,
) -> OrganisationId | None:
    """Return the organisation that owns a job; None if it belongs to all.

    ``organisation`` is the one that submitted the job, None if none was
    configured then.  ``key_holder`` is the present or last holder of the key
    with which it was submitted.  ``is_configured`` tells whether the present
    configuration names the organisation, or none at all.
    """
    if organisation is not None and is_configured:
        return organisation
    # An organisation that was renamed still holds the key.
    return key_holder or organisation


def may_access(owner: OrganisationId | None, caller: OrganisationId | None) -> bool:
    """Return whether a caller may read and end a job of an owner.

    ``caller`` is None only while no organisation is configured and the key is
    not known, since anybody may call then.
    """
    return owner is None or caller is None or owner == caller
