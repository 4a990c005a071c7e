"""Releases of the gateway and the forms in which their daemons exchange states.

Fields are only appended, so a daemon of an older release reads the first fields of a newer form.
"""

__all__ = [
    "CARRIER_RELEASE",
    "COMPLETED_RELEASE",
    "FIRST_STATED_RELEASE",
    "HOLDERS_RELEASE",
    "OLDEST_RELEASE",
    "OWN_FORM",
    "RELEASE",
    "ReleaseForm",
    "find_form",
    "find_form_by_fields",
]

from typing import NamedTuple


class ReleaseForm(NamedTuple):
    """The form in which daemons of a release tell each other states.

    :ivar release: number of the release
    :ivar state_fields: number of fields of a daemon's state
    :ivar liveness_fields: number of fields of a liveness record
    :ivar describes_lost: whether a loss holds its service and the prompt parts of its requests
    :ivar orders_eras: whether revisions are ordered over the eras of the store
    """

    release: int
    state_fields: int
    liveness_fields: int
    describes_lost: bool
    orders_eras: bool


FORMS = (
    ReleaseForm(1, 18, 5, False, False),
    ReleaseForm(2, 19, 5, False, False),
    ReleaseForm(3, 22, 5, True, True),
    ReleaseForm(4, 24, 6, True, True),
    ReleaseForm(5, 26, 6, True, True),
    ReleaseForm(6, 27, 7, True, True),
    ReleaseForm(7, 28, 7, True, True),
)
OWN_FORM = FORMS[-1]
RELEASE = OWN_FORM.release
OLDEST_RELEASE = FORMS[0].release
COMPLETED_RELEASE = 3  # the first whose states count completed requests
CARRIER_RELEASE = 4  # the first whose registrations name a carrier
HOLDERS_RELEASE = 6  # the first in which a few daemons hold the slots of brittle upstreams
FIRST_STATED_RELEASE = 6  # the first whose daemons state their release in frames


def find_form(release: int) -> ReleaseForm:
    """Find the form that daemons of a release read; newer ones read this one's.

    :raises ValueError: if there is no such release
    """
    if release >= RELEASE:
        return OWN_FORM
    for form in FORMS:
        if form.release == release:
            return form
    raise ValueError(f"no release {release}")


def find_form_by_fields(state_fields: int) -> ReleaseForm | None:
    """Find the newest form whose states have at most a number of fields, None if there is none.

    A state between two forms, of a build between two releases, is read as one of the older form.
    """
    for form in reversed(FORMS):
        if form.state_fields <= state_fields:
            return form
    return None
