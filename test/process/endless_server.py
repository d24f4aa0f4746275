"""A server on a free port that answers each request with bytes without end."""

import socket
import threading

PIECE = b"x" * 262144


class EndlessServer:
    """The answer's head is whole, or is what has no end."""

    def __init__(self, is_head_whole=True):
        self.is_head_whole = is_head_whole
        self.server = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.port = self.server.getsockname()[1]
        self.answers = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        try:
            while True:
                connection, _ = self.server.accept()
                threading.Thread(target=self.serve, args=[connection], daemon=True).start()
        except OSError:
            pass

    def serve(self, connection):
        with connection:
            try:
                if not connection.recv(65536):
                    return
                self.answers += 1
                end = b"\r\n" if self.is_head_whole else b""
                connection.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + end)
                number = 0
                while True:
                    if self.is_head_whole:
                        connection.sendall(PIECE)
                        continue
                    number += 1
                    connection.sendall(f"X-Field-{number}: {'x' * 4000}\r\n".encode())
            except OSError:
                pass

    def close(self):
        self.server.close()
