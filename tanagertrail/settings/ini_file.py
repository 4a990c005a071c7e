"""Reading of INI files, validated as a whole against a schema."""

__all__ = ["Section", "parse_settings", "read_settings"]

import configparser
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ConfigDict, ValidationError

from tanagertrail.errors import SettingsError, Violation

MAX_SETTINGS_BYTES = 200_000
MAX_SHOWN_CHARACTERS = 60


class Section(BaseModel):
    """Base of sections and of whole files; unknown keys are rejected."""

    model_config = ConfigDict(extra="forbid", frozen=True)


SectionType = TypeVar("SectionType", bound=Section)


def read_settings(path: str, schema: type[SectionType]) -> SectionType:
    """Read and validate a settings file.

    :param schema: class whose fields are the sections of the file
    :raises SettingsError: listing every violation with section, key, rule and rejected value
    """
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(
            [Violation("settings", "must be a readable file", str(error))]
        ) from error
    if len(content) > MAX_SETTINGS_BYTES:
        rule = f"must be at most {MAX_SETTINGS_BYTES} bytes"
        raise SettingsError([Violation("settings", rule, str(len(content)))])
    return parse_settings(content.decode("utf-8", "replace"), schema)


def parse_settings(text: str, schema: type[SectionType]) -> SectionType:
    """Parse and validate settings.

    :raises SettingsError: listing every violation
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text)
    except configparser.Error as error:
        message = str(error).replace("\n", " ")
        raise SettingsError([Violation("settings", "must be INI", message)]) from error
    document = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return schema.model_validate(document)
    except ValidationError as error:
        raise SettingsError(list_violations(error)) from error


def list_violations(error: ValidationError) -> list[Violation]:
    """Convert a validation error to violations that name section and key."""
    violations = []
    for item in error.errors():
        location = ".".join(str(part) for part in item["loc"]) or "settings"
        violations.append(
            Violation(location, item["msg"], format_rejected_value(location, item["input"]))
        )
    return violations


def format_rejected_value(location: str, value: object) -> str:
    """Format a rejected value for an error message.

    Secrets are left out, and so are whole sections, which may contain them.
    """
    if location.endswith("token"):
        return "hidden"
    if isinstance(value, dict | BaseModel):
        return "nothing that fits"
    return repr(value)[:MAX_SHOWN_CHARACTERS]
