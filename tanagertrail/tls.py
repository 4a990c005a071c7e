"""TLS contexts whose keys are read again when their files change."""

__all__ = ["KeyFiles", "ReloadingContext", "build_peer_contexts"]

import os
import ssl
from typing import NamedTuple


class KeyFiles(NamedTuple):
    """Files of a certificate, its private key and the authority that peers are checked against."""

    certificate: str
    private_key: str
    authority: str = ""


class ReloadingContext:
    """A server context that takes new keys for new connections, without a restart.

    :ivar context: the context to listen with
    """

    def __init__(self, files: KeyFiles) -> None:
        self.files = files
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.loaded_modification_times: tuple[float, ...] = ()
        self.reload()

    def read_modification_times(self) -> tuple[float, ...]:
        """Return when the files were last changed."""
        return tuple(os.stat(name).st_mtime for name in self.files if name)

    def reload(self) -> bool:
        """Read the keys if their files changed; return whether they did.

        A pair that does not match is not taken, and the old one stays in use.

        :raises OSError: if a file cannot be read
        :raises ssl.SSLError: if the pair does not match
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
    """Check that a certificate and key match, on a context of their own.

    :raises ssl.SSLError: if they do not
    """
    scratch_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    scratch_context.load_cert_chain(files.certificate, files.private_key)


def build_peer_contexts(files: KeyFiles) -> tuple[ReloadingContext, ssl.SSLContext]:
    """Return the contexts with which daemons listen and connect; both sides show certificates.

    Daemons are known by IP number, so the authority, not the host name, is what is checked.
    """
    server = ReloadingContext(files)
    client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    client.check_hostname = False
    client.load_cert_chain(files.certificate, files.private_key)
    client.load_verify_locations(files.authority)
    return server, client
