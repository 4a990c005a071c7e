"""The rig that replaces real daemons of an older source tree."""

import asyncio
import json
import tempfile
from collections import Counter
from pathlib import Path
from unittest.mock import patch

from tanagertrail.daemons.releases import RELEASE
from tanagertrail.soak import release_rig
from tanagertrail.soak.processes import OWN_TREE
from tanagertrail.soak.release_rig import COURSES, count_logs, run_upgrade
from tests.utils import raises


def test_courses_replace_each_daemon_of_their_part():
    forth = [(0, True), (1, True), (2, True)]
    assert list(COURSES.get("forth")(3)) == forth
    assert list(COURSES.get("back")(3)) == [*forth, (0, False), (1, False), (2, False)]
    assert list(COURSES.get("halt")(4)) == [(0, True), (2, True), (0, False)]


def test_refusals_are_counted_by_the_release_that_wrote_the_line():
    lines = [
        {"event": "started"},
        {"event": "peer_frame_refused", "error": "a"},
        {"event": "member_refused", "error": "b"},
        {"event": "started", "release": RELEASE},
        {"event": "peer_frame_refused", "error": "c"},
        {"event": "peer_frame_refused", "error": "d"},
    ]
    text = "\n".join(json.dumps(item) for item in lines) + "\nTraceback (most recent call last):\n"
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "entry-1.log"
        path.write_text(text)
        counts = count_logs([path])
    own = str(RELEASE)
    assert counts.starts == Counter({"older": 1, own: 1})
    assert counts.refused == Counter({"older": 1, own: 2})
    assert counts.unread_registrations == Counter({"older": 1})
    assert counts.defects == Counter({own: 1})
    assert len(counts.samples) == 4


def test_folder_without_sources_is_named():
    with raises(FileNotFoundError):
        asyncio.run(run_upgrade(OWN_TREE / "tests"))


def test_daemons_are_replaced_while_callers_are_served():
    with patch.multiple(release_rig, MEETING_SECONDS=2.0, REST_SECONDS=1.0):
        result = asyncio.run(run_upgrade(OWN_TREE, course="forth", daemons=2, callers=4))
    assert result.logs.starts == Counter({str(RELEASE): 4})
    assert (result.logs.refused, result.logs.defects) == (Counter(), Counter())
    assert result.broken == []
    assert result.served > result.calls / 2 > 0
