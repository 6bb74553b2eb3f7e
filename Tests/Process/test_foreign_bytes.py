"""Connections from elsewhere that send bytes without end, or nothing, to each port of a node, on real processes."""

import base64
import http.client
import os
import socket
import threading
import time

from catalog_fleet import CatalogFleet
from processes import wait_until

ENTRY, OWNER = "127.0.0.2", "127.0.0.3"
PIECE = b"x" * 16_384
UPGRADE = (b"GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
           b"Sec-WebSocket-Key: " + base64.b64encode(b"0123456789abcdef") + b"\r\n\r\n")
POST = b"POST /v1/status HTTP/1.1\r\nHost: a\r\n"
HOP = b"POST /balance/1 HTTP/1.1\r\nHost: a\r\nX-Request-Id: foreign\r\nWagtailmount-Hop: 127.0.0.3 ledger 3000 0 1\r\n"
CALL = b"POST /posting/1 HTTP/1.1\r\nHost: mesh.example\r\n"
# What begins a connection, and what is then sent again and again.
HTTP_FORMS = [(b"", PIECE), (b"", b"\r\n" * 4_096), (b"GET /", PIECE), (b"GET / HTTP/1.1\r\nX-Long: ", PIECE),
              (b"GET / HTTP/1.1\r\n", b"X-One: more\r\n" * 64)]
BODY_FORMS = [(b"Transfer-Encoding: chunked\r\n\r\n", b"4000\r\n" + PIECE + b"\r\n"),
              (b"Transfer-Encoding: chunked\r\n\r\n5;", PIECE),
              (b"Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-One: more\r\n" * 64),
              (b"Content-Length: 9000000000000\r\n\r\n", PIECE), (b"Content-Length: 0\r\n\r\n", PIECE)]
PEER_FORMS = [(UPGRADE, PIECE), (UPGRADE + b"\x82\xff" + b"\x7f" + b"\xff" * 7 + b"mask", PIECE),
              (UPGRADE, b"\x02\x80mask"), (UPGRADE, b"\x89\x80mask"),
              (UPGRADE, b"\x02\xfe\x40\x00mask" + PIECE)]
FORMS = {"caller": HTTP_FORMS + [(CALL + begin, piece) for begin, piece in BODY_FORMS],
         "hop": HTTP_FORMS + [(HOP + begin, piece) for begin, piece in BODY_FORMS],
         "admin": HTTP_FORMS + [(POST + begin, piece) for begin, piece in BODY_FORMS],
         "readiness": HTTP_FORMS + [(POST + begin, piece) for begin, piece in BODY_FORMS],
         "peer": HTTP_FORMS + PEER_FORMS}
EACH = 3  # Connections of each form, at once.
LONGEST_SECONDS = 16.0  # The longest time limit of a call, and some more.
GROWTH_KB, GROWTH_KB_EACH = 8_192, 256
IDLE_CONNECTIONS = 300
MAXIMUM_DESCRIPTORS = 256


class ForeignBytesTest(CatalogFleet):
    vms = {ENTRY: ("hall-a", "casefile"), OWNER: ("hall-a", "ledger")}

    def connect(self, port):
        return socket.create_connection((OWNER, int(self.ports[port])), timeout=LONGEST_SECONDS)

    def send_without_end(self, port, begin, repeated, ended):
        """Sends until the node ends the connection."""
        began = time.monotonic()
        try:
            with self.connect(port) as connection:
                threading.Thread(target=read_all, args=(connection,), daemon=True).start()
                connection.sendall(begin)
                while time.monotonic() - began < LONGEST_SECONDS:
                    connection.sendall(repeated)
        except OSError:
            pass
        ended.append((port, begin[-40:], repeated[:20], time.monotonic() - began))

    def ask_sound(self, is_over, statuses):
        while not is_over.is_set():
            for vm in (ENTRY, OWNER):
                try:
                    statuses.append(self.call(vm, "/balance/1")[0])
                except (OSError, http.client.HTTPException) as failure:
                    statuses.append(type(failure).__name__)
            statuses.append(200 if self.is_ready(OWNER) else "not ready")

    # Guards against a reader of foreign bytes that keeps them all, or is kept busy by them.
    def test_bytes_without_end_are_ended_at_each_port(self):
        before = self.memory_kb(OWNER, "VmRSS")
        is_over, statuses, ended = threading.Event(), [], []
        sound = threading.Thread(target=self.ask_sound, args=(is_over, statuses), daemon=True)
        sound.start()
        threads = [threading.Thread(target=self.send_without_end, args=(port, begin, repeated, ended), daemon=True)
                   for port, forms in FORMS.items() for begin, repeated in forms for _ in range(EACH)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(2 * LONGEST_SECONDS)
        is_over.set()
        sound.join(5)
        self.assertEqual([each for each in ended if each[3] >= LONGEST_SECONDS], [])
        self.assertEqual(len(ended), len(threads))
        self.assertEqual({each for each in statuses if each != 200}, set())
        self.assertIsNone(self.nodes[OWNER].poll())
        self.assertLess(self.memory_kb(OWNER, "VmHWM") - before, GROWTH_KB + GROWTH_KB_EACH * len(threads))


class IdleConnectionsTest(CatalogFleet):
    """Connections that wait for a call, and send none, leave other ports the descriptors that they need."""

    vms = ForeignBytesTest.vms

    def write_settings(self, vm, domain, service, store_address, **more):
        super().write_settings(vm, domain, service, store_address, maximum_descriptors=MAXIMUM_DESCRIPTORS, **more)

    def test_idle_connections_leave_room_for_requests(self):
        for port in ("readiness", "admin"):
            with self.subTest(port=port):
                idle = []
                try:
                    for _ in range(IDLE_CONNECTIONS):
                        idle.append(socket.create_connection((OWNER, int(self.ports[port])), timeout=2))
                    time.sleep(0.5)  # All of them are accepted.
                    open_now = len(os.listdir(f"/proc/{self.nodes[OWNER].pid}/fd"))
                    self.assertLess(open_now, MAXIMUM_DESCRIPTORS)
                    self.assertEqual(self.call(OWNER, "/balance/1")[0], 200)
                finally:
                    for connection in idle:
                        connection.close()
                wait_until("it is ready again", lambda: self.is_ready(OWNER), 5)


def read_all(connection):
    try:
        while connection.recv(65_536):
            pass
    except OSError:
        pass
