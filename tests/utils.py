"""Shared decorators, helpers and builders of test data."""

import datetime
import functools
import os
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from hypothesis import settings

from tanagertrail.model import FailureDomain, Service, Upstream, Version
from tanagertrail.policy.tickets import Ticket
from tanagertrail.testing import Cluster, run_in_virtual_time

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


def with_virtual_time(test: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Run an asynchronous test in virtual time."""

    @functools.wraps(test)
    def run(*arguments):
        run_in_virtual_time(test(*arguments))

    return run


def with_cluster(**sizes) -> Callable:
    """Pass a started in-memory cluster to a test and run it in virtual time."""

    def decorate(test: Callable[[Cluster], Awaitable[None]]) -> Callable[[], None]:
        async def run_on_cluster() -> None:
            cluster = Cluster(**sizes)
            await cluster.start()
            await test(cluster)

        def run() -> None:
            run_in_virtual_time(run_on_cluster())

        run.__name__ = test.__name__
        run.__module__ = test.__module__
        run.__doc__ = test.__doc__
        return run

    return decorate


@contextmanager
def raises(exception_type: type[Exception]) -> Iterator[list[Exception]]:
    """Check that a block raises an exception of a type; the list then holds the exception."""
    caught: list[Exception] = []
    try:
        yield caught
    except exception_type as error:
        caught.append(error)
        return
    raise AssertionError(f"{exception_type.__name__} was not raised")


def build_upstream(name: str = "dial-1", **fields) -> Upstream:
    """Build an upstream."""
    values = {"name": name, "address": "10.0.0.1:9000", "failure_domain": "sapporo"}
    return Upstream(**{**values, **fields})


def build_service(*upstreams: Upstream, **fields) -> Service:
    """Build a service with one version."""
    return Service(versions={"v1": Version(upstreams=upstreams)}, current="v1", **fields)


def build_ticket(**fields) -> Ticket:
    """Build a ticket that creates a service and its failure domain."""
    values = {
        "services": {"dial": build_service(build_upstream())},
        "failure_domains": {"sapporo": FailureDomain()},
    }
    return Ticket(**{**values, **fields})


def write_certificate(certificate: Path, key: Path, name: str, changed_at: int) -> None:
    """Write a self-signed certificate and its key, and set their modification time."""
    private_key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    built_certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(private_key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .sign(private_key, hashes.SHA256())
    )
    certificate.write_bytes(built_certificate.public_bytes(serialization.Encoding.PEM))
    key.write_bytes(
        private_key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    for path in (certificate, key):
        os.utime(path, (changed_at, changed_at))
