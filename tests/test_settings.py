"""Validation of the daemon's settings file."""

from hypothesis import given
from hypothesis import strategies as st

from tanagertrail.errors import SettingsError
from tanagertrail.settings.daemon import DaemonSettings
from tanagertrail.settings.ini_file import parse_settings
from tests.utils import raises

MINIMAL_SETTINGS = "[daemon]\nname = entry-1\nfailure_domain = sapporo\n"


def test_defaults():
    settings = parse_settings(MINIMAL_SETTINGS, DaemonSettings)
    assert settings.callers.port == 8080
    assert settings.policy.choice == "affinity"


def test_all_bad_values_are_reported_together():
    text = (
        "[daemon]\nname = Entry 1\nfailure_domain = x\nhost = nowhere\n"
        "[callers]\nport = 99999\nrelay = fast\n[policy]\nchoice = best\n[colour]\nx = 1\n"
    )
    with raises(SettingsError) as caught:
        parse_settings(text, DaemonSettings)
    fields = {violation.field for violation in caught[0].violations}
    expected = {"daemon.name", "daemon.host", "callers.port", "callers.relay", "policy.choice"}
    assert expected | {"colour"} <= fields, fields


def test_ports_must_differ():
    with raises(SettingsError) as caught:
        parse_settings(
            MINIMAL_SETTINGS + "[callers]\nport = 80\n[operators]\nport = 80\n", DaemonSettings
        )
    assert "ports must differ" in str(caught[0])


def test_token_is_not_shown():
    with raises(SettingsError) as caught:
        parse_settings("[operators]\ntoken = hush\nport = x\n", DaemonSettings)
    assert "hush" not in str(caught[0])


@given(st.text(max_size=200))
def test_any_text_parses_or_is_refused(text):
    try:
        parse_settings(text, DaemonSettings)
    except SettingsError as error:
        assert error.violations
