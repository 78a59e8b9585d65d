"""A model engine as a process of its own, so that a case can kill it.

usage: engine.py IP PORT ID LOADED STAGED

LOADED and STAGED are versions of the weights, 0 for none. It prints a line for each event of a stream:
the id of the request, whether the answer is chunked, and the number of the event. A line with a number N
on its standard input makes every Nth stream end with its connection; 0: none.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import standin  # noqa: E402


class Silent:
    """Replaces the record of a case: the case reads the lines of this process."""

    def now(self):
        return 0.0

    def line(self, text):
        pass

    def say(self, text):
        print("say", text, flush=True)


class Engine(standin.Engine):
    unframed_every = 0
    streams = 0

    async def load(self, version):
        self.register = lambda: asyncio.sleep(0)
        await super().load(version)

    async def run(self, fields, path, writer):
        refused = fields.get("jayspread-expect-instance", self.id) != self.id
        if refused or not self.version or self.busy:
            return await super().run(fields, path, writer)
        ident = fields.get("jayspread-request-id", "")
        first = int(fields.get("last-event-id", "0")) + 1
        self.streams += 1
        unframed = self.unframed_every and self.streams % self.unframed_every == 0
        head = ["HTTP/1.1 200 OK", f"Jayspread-Request-Id: {ident}",
                f"Jayspread-Response-Seal: {self.id}.{ident}",
                f"Jayspread-Weight-Versions: {self.version}", "Content-Type: text/event-stream",
                "Connection: close" if unframed else "Transfer-Encoding: chunked"]
        self.running += 1
        try:
            print("run", ident, "unframed" if unframed else "chunked", first, flush=True)
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            for number in range(first, self.EVENTS + 1):
                await asyncio.sleep(self.EVENT_S)
                event = f"id: {number}\ndata: {ident} {number}\n\n".encode()
                writer.write(event if unframed else b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                print("event", ident, "unframed" if unframed else "chunked", number, flush=True)
            if not unframed:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
            return not unframed
        finally:
            self.running -= 1


async def main():
    ip, port, ident, loaded, staged = sys.argv[1:]
    engine = Engine(Silent(), None, "desk", ident, "r1-a", int(loaded))
    if int(staged):
        engine.staged = {i: standin.piece(int(staged), i) for i in range(standin.PIECES)}
    await engine.listen(ip, int(port))
    print("listening", engine.authority, flush=True)
    reader = asyncio.StreamReader()
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        engine.unframed_every = int(line)


if __name__ == "__main__":
    asyncio.run(main())
