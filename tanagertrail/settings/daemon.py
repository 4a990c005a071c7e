"""Schema of the daemon's settings: sections and fields with their rules."""

__all__ = ["DaemonSettings", "TlsSection"]

import ipaddress
from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, Field, model_validator

import tanagertrail.policy.choice as choice
from tanagertrail.model import NAME_PATTERN
from tanagertrail.settings.ini_file import Section


def check_ip(value: str) -> str:
    """Check that a value is an IP address."""
    ipaddress.ip_address(value)
    return value


def check_choice(value: str) -> str:
    """Check that a policy for choosing upstreams is registered under this name."""
    if value not in choice.CHOICES:
        known = ", ".join(choice.CHOICES)
        raise ValueError(f"must be one of {known}")
    return value


def check_file(value: str) -> str:
    """Check that a file exists; an empty value stands for no file."""
    if value and not Path(value).is_file():
        raise ValueError("must name a file that can be read")
    return value


Name = Annotated[str, Field(pattern=NAME_PATTERN)]
IpAddress = Annotated[str, AfterValidator(check_ip)]
Port = Annotated[int, Field(ge=0, le=65535)]
ThreadCount = Annotated[int, Field(ge=1, le=2000)]
FilePath = Annotated[str, AfterValidator(check_file)]
ChoiceName = Annotated[str, AfterValidator(check_choice)]


class TlsSection(Section):
    """Paths of the TLS certificate and private key of a port; both or neither are set."""

    certificate: FilePath = ""
    private_key: FilePath = ""

    @model_validator(mode="after")
    def check_pair(self) -> "TlsSection":
        """Check that the certificate and the key are set together."""
        if bool(self.certificate) != bool(self.private_key):
            raise ValueError("certificate and private_key must be set together")
        return self


class DaemonSection(Section):
    """Identity and location of this daemon."""

    name: Name
    failure_domain: Name
    host: IpAddress = "127.0.0.1"


class CallersSection(TlsSection):
    """The port for callers.

    :ivar threads: number of worker threads; each request in progress occupies one
    :ivar relay: ``loop`` to relay streamed frames on the event loop, ``threads`` to relay them on
        worker threads as a baseline for comparison
    :ivar max_body: largest request body in bytes
    """

    port: Port = 8080
    threads: ThreadCount = 64
    relay: Annotated[str, Field(pattern="^(loop|threads)$")] = "loop"
    max_body: Annotated[int, Field(ge=1024, le=64_000_000)] = 1_000_000


class OperatorsSection(TlsSection):
    """The port for operators.

    :ivar token: shared secret of operators, empty to admit every local caller
    """

    port: Port = 8081
    threads: ThreadCount = 4
    token: str = ""


class DaemonsSection(TlsSection):
    """The port for other daemons.

    :ivar authority: path of the CA certificate that verifies the other daemons' certificates
    """

    port: Port = 8082
    authority: FilePath = ""


class PlatformSection(Section):
    """Address of the platform's API and timeout of its calls in seconds."""

    address: Annotated[str, Field(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")] = "127.0.0.1:8090"
    timeout: Annotated[float, Field(gt=0, le=60)] = 2.0


class PolicySection(Section):
    """Policies and their parameters.

    :ivar choice: registered name of the policy that chooses upstreams
    :ivar retry_share: retries of a service allowed for each of its successful requests
    """

    choice: ChoiceName = "affinity"
    retry_share: Annotated[float, Field(ge=0, le=0.5)] = 0.08


class LogSection(Section):
    """Lowest level of the events that are logged."""

    level: Annotated[str, Field(pattern="^(debug|info|notice|warning|error)$")] = "info"


class DaemonSettings(Section):
    """All settings of a daemon."""

    daemon: DaemonSection
    callers: CallersSection = CallersSection()
    operators: OperatorsSection = OperatorsSection()
    daemons: DaemonsSection = DaemonsSection()
    platform: PlatformSection = PlatformSection()
    policy: PolicySection = PolicySection()
    log: LogSection = LogSection()

    @model_validator(mode="after")
    def check_ports(self) -> "DaemonSettings":
        """Check that no port is used twice; port 0 stands for any free port."""
        ports = [self.callers.port, self.operators.port, self.daemons.port]
        fixed_ports = [port for port in ports if port]
        if len(fixed_ports) != len(set(fixed_ports)):
            raise ValueError(f"ports must differ, are {ports}")
        return self
