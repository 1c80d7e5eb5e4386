"""TLS towards callers; keys are reloaded without a restart."""

from __future__ import annotations

import socket
import ssl
from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from banyansail.router.router import Router
from tests.live import LiveSite, in_reactor
from tests.processes import wait_until


def write_pair(folder, name: str) -> None:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.now(UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    (folder / "cert.pem").write_bytes(certificate.public_bytes(encoding))
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            encoding,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )


def served_name(port: int) -> str:
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    with (
        socket.create_connection(("127.0.0.1", port), 5) as plain,
        context.wrap_socket(plain) as secured,
    ):
        secured.sendall(b"GET /health HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        assert secured.recv(100).startswith(b"HTTP/1.1 200")
        der = secured.getpeercert(binary_form=True)
    return x509.load_der_x509_certificate(der).subject.rfc4514_string()


@pytest.fixture
def port(tmp_path):
    write_pair(tmp_path, "first")
    with LiveSite() as live:
        live.service("s0")
        live.start()
        plain = live.site.router_by_name["r0"]
        settings = replace(
            plain.settings,
            certificate=str(tmp_path / "cert.pem"),
            private_key=str(tmp_path / "key.pem"),
        )
        in_reactor(plain.stopService)
        router = in_reactor(Router, settings, plain._reactor)
        live.site.router_by_name["r0"] = router
        in_reactor(router.startService)
        wait_until(lambda: router.lifecycle.takes_callers)
        yield settings.listen.port


def test_callers_are_served_over_tls(port):
    assert served_name(port) == "CN=first"


def test_new_keys_are_used_without_a_restart(port, tmp_path):
    write_pair(tmp_path, "second")
    assert served_name(port) == "CN=second"


def test_broken_keys_leave_the_old_ones_in_use(port, tmp_path):
    (tmp_path / "key.pem").write_text("nonsense")
    assert served_name(port) == "CN=first"
