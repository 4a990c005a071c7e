"""TLS contexts that reload their certificate and key when the files change."""

__all__ = ["KeyFiles", "ReloadingContext", "build_peer_contexts"]

import os
import ssl
from typing import NamedTuple


class KeyFiles(NamedTuple):
    """Files of a certificate, its private key and the CA against which peers are verified."""

    certificate: str
    private_key: str
    authority: str = ""


class ReloadingContext:
    """A server context that uses a changed certificate for new connections, without a restart.

    :ivar context: the SSL context for listening sockets
    :ivar loaded_modification_times: modification times of the files when they were last loaded
    """

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.loaded_modification_times: tuple[float, ...] = ()
        self.reload()

    def read_modification_times(self) -> tuple[float, ...]:
        """Return the modification times of the files."""
        return tuple(os.stat(name).st_mtime for name in self.files if name)

    def reload(self) -> bool:
        """Load certificate and key if their files changed; return whether they did.

        If certificate and key do not match, the old pair stays in use.

        :raises OSError: if a file cannot be read
        :raises ssl.SSLError: if certificate and key do not match
        """
        modification_times = self.read_modification_times()
        if modification_times == self.loaded_modification_times:
            return False
        check_key_pair(self.files)
        self.context.load_cert_chain(self.files.certificate, self.files.private_key)
        if self.files.authority:
            self.context.load_verify_locations(self.files.authority)
            self.context.verify_mode = ssl.CERT_REQUIRED
        self.loaded_modification_times = modification_times
        return True


def check_key_pair(files: KeyFiles) -> None:
    """Check that certificate and key match, in a separate context.

    So a pair that does not match is never loaded into the context in use.

    :raises ssl.SSLError: if they do not match
    """
    scratch_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    scratch_context.load_cert_chain(files.certificate, files.private_key)


def build_peer_contexts(files: KeyFiles) -> tuple[ReloadingContext, ssl.SSLContext]:
    """Return the server and client contexts for mutual TLS between daemons.

    Daemons are addressed by IP address, so a peer's certificate is checked against the CA, but not
    against a host name.
    """
    server = ReloadingContext(files)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.load_cert_chain(files.certificate, files.private_key)
    client.load_verify_locations(files.authority)
    return server, client
