"""A node that ends takes a request late in its grace, passes it on, and leaves without an answer."""

import http.client
import os
import signal
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
import tier as lib  # noqa: E402

CLIENTS = 8
LIMIT_MS = 6000  # of both routes, and the clients' deadline
STREAM_S = [4.0 + 0.05 * i for i in range(CLIENTS)]  # each begins before the SIGTERM
TERM_AFTER_S = 0.8  # from the begin of the streams on
WORK_S = 4.2  # of the worker, for each request that follows a stream
EXCUSED_S = 3.0  # requests sent until then after the SIGTERM may be cut at the end of the grace
EVENT_S = 0.2

ROUTES = [
    {"name": "stream", "host": lib.HOST, "path_prefix": "/stream/", "variant": "streamed",
     "limit_ms": LIMIT_MS, "target_ms": 500, "rank": 0, "target": "demo", "tries": 1,
     "resumable": False, "gap_aim_ms": 500},
    {"name": "slow", "host": lib.HOST, "path_prefix": "/slow/", "variant": "effectful",
     "limit_ms": LIMIT_MS, "target_ms": 500, "rank": 0, "target": "demo", "tries": 1},
]


class SlowWorker(lib.Worker):
    """Streams for the time that the path names, and works WORK_S on anything else."""

    def respond(self, connection, attempt_id, path, last_event_id):
        head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Seal: %s.%s\r\n" % (
            attempt_id, self.worker_id, attempt_id)
        if path.startswith("/stream/"):
            connection.sendall((head + "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n").encode())
            end, number = time.monotonic() + float(path.rsplit("/", 1)[1]), last_event_id
            while time.monotonic() < end:
                number += 1
                event = "id: %d\ndata: %d\n\n" % (number, number)
                connection.sendall(("%x\r\n%s\r\n" % (len(event), event)).encode())
                time.sleep(min(EVENT_S, max(0.0, end - time.monotonic())))
            connection.sendall(b"0\r\n\r\n")
            return
        time.sleep(WORK_S)
        connection.sendall((head + "Content-Length: 4\r\n\r\ndone").encode())
        self.tier.record.write("worker has answered %s" % attempt_id)


class Client:
    """A stream, and then another request on the same connection, which was kept open."""

    def __init__(self, tier, node, number):
        self.tier, self.node, self.number = tier, node, number
        self.sent_at, self.status, self.ended_at = 0.0, None, 0.0
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _ask(self, connection, path, attempt_id):
        connection.request("POST", path, b"body", {
            "Host": lib.HOST, "X-Attempt-Id": attempt_id, "X-Deadline-Ms": str(LIMIT_MS)})
        response = connection.getresponse()
        response.read()
        self.tier.record.write("answer to %s: %d" % (attempt_id, response.status))
        return response

    def _run(self):
        connection = http.client.HTTPConnection(self.node.ip, 8144, timeout=LIMIT_MS / 1000 + 1)
        try:
            first = self._ask(connection, "/stream/%.2f" % STREAM_S[self.number],
                              "stream-%d" % self.number)
            if first.status != 200 or first.will_close:
                return  # the connection is over, as the answer said
            connection.auto_open = 0
            self.sent_at = time.monotonic()
            self.tier.record.write("work-%d is sent" % self.number)
            self.status = self._ask(connection, "/slow/%d" % self.number,
                                    "work-%d" % self.number).status
        except (OSError, http.client.HTTPException) as error:
            self.tier.record.write("client %d: %r" % (self.number, error))
            if self.sent_at:
                self.status = 0
        finally:
            self.ended_at = time.monotonic()
            connection.close()


def case(record, trouble):
    tier = lib.Tier(record, edges=3, stores=2, workers=1)
    tier.configure(ROUTES)
    worker = SlowWorker(tier, "w-1", tier.worker_address(0), "demo", lib.ZONES[0])
    tier.workers.append(worker)
    time.sleep(lib.BOUNDS["contact_ms"] / 1000 + 1)
    node = tier.edges[0]
    clients = [Client(tier, node, number) for number in range(CLIENTS)]
    time.sleep(TERM_AFTER_S)
    term_at = time.monotonic()
    if trouble:
        record.write("SIGTERM to %s" % node.name)
        node.process.send_signal(signal.SIGTERM)
        try:
            node.process.wait(lib.BOUNDS["grace_s"])
        except lib.subprocess.TimeoutExpired:
            node.kill()
        record.say("%s has ended %.2f s after the SIGTERM" % (node.name,
                                                             time.monotonic() - term_at))
    for client in clients:
        client.thread.join()
    followed = [one for one in clients if one.sent_at]
    if not trouble and not followed:
        raise lib.CannotRun("the connections are not kept")
    ran = {attempt_id for _, attempt_id in worker.ran}
    cut = [one for one in followed
           if one.status == 0 and "work-%d" % one.number in ran
           and one.sent_at > term_at + EXCUSED_S
           and one.ended_at < one.sent_at + LIMIT_MS / 1000]
    record.say("%d requests followed on kept connections; %d of them, sent %s s after the SIGTERM, "
               "ran at the worker and ended without an answer %s s after it" % (
                   len(followed), len(cut),
                   ", ".join("%.2f" % (one.sent_at - term_at) for one in cut[:3]),
                   ", ".join("%.2f" % (one.ended_at - term_at) for one in cut[:3])))
    return lib.BROKEN if cut else lib.HELD


lib.main(FOLDER, case)
