"""An engine is restarted under its id while an entry host stands still that knows that it leaves."""
import asyncio
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))
import standin  # noqa: E402

FREEZE_S = 4.0
DRAIN_S = standin.BOUNDS["drain_ms"] / 1e3
STABLE_S = standin.BOUNDS["stable_window_ms"] / 1e3
WATCH_S = 30


async def client(site, address, sent, numbers):
    connection = standin.Connection(address)
    while True:
        number = next(numbers)
        ident = f"{number:016x}"
        at = site.record.now()
        if number % 2:
            answer = await connection.call("POST", "/s/a", ident, 6000, standin.stream_fields(ident))
        else:
            answer = await connection.call("POST", "/o/a", ident, 600)
        sent.append((at, "first" if number % 2 else "later", answer))
        site.record.line(f"client: {ident} sent at {at:.3f}: {answer}")
        await asyncio.sleep(0.1)


def count(sent, routes, start):
    answers = [answer for at, name, answer in sent if name == routes and at >= start]
    return sum(answer.served() for answer in answers), len(answers)


async def case(site):
    record, store = site.record, site.store
    await store.listen("127.0.0.1")
    config = standin.config(1)
    first_only = config | {"routes": config["routes"][:1]}
    await store.put("keyed.op", "config", first_only)
    for number in (11, 12):
        engine = standin.Engine(record, store, "desk", f"i-{number}", "r1-a", version=1)
        await engine.listen(site.ip(0, number))
        await engine.register()
        site.agent(engine)
    single = standin.Engine(record, store, "lodgement", "i-21", "r1-a", version=None, work_s=0.08,
                             slots=6)
    await single.listen(site.ip(0, 21))
    await single.register()
    entries = [site.entry(number) for number in (1, 2, 3)]
    for process in site.processes:
        process.start()
    await site.wait_ready(entries)
    await asyncio.sleep(2)
    await store.put("keyed.op", "config", config | {"version": 2})
    record.say("a configuration adds the routes of the service for lodgements")
    await asyncio.sleep(3)
    sent, numbers = [], itertools.count(1)
    tasks = [asyncio.create_task(client(site, entry.front, sent, numbers))
             for entry in entries for _ in range(6)]
    start = record.now()
    await asyncio.sleep(3)
    before = count(sent, "later", start)

    single.leaving = True
    await asyncio.sleep(0.05)
    single.state = "draining"
    await single.register()
    record.say(f"engine {single.id}: reports that it drains, and says in its answers that it leaves")
    await asyncio.sleep(0.8)
    if site.trouble:
        entries[-1].signal(signal.SIGSTOP)
    await asyncio.sleep(DRAIN_S - 0.8 + 0.4)
    await single.close()
    await single.unregister()
    record.say(f"engine {single.id}: has left")
    await asyncio.sleep(0.6)
    single.state, single.leaving, single.beats = "ready", False, 0
    single.born = int(time.time() * 1e3)
    await single.listen(*single.address)
    await single.register()
    record.say(f"engine {single.id}: starts again under its id")
    await asyncio.sleep(FREEZE_S + 0.8 - 0.8 - (DRAIN_S - 0.8 + 0.4) - 0.6)
    if site.trouble:
        entries[-1].signal(signal.SIGCONT)
    steady = record.now() + STABLE_S + 1
    await asyncio.sleep(STABLE_S + 1 + WATCH_S)
    for task in tasks:
        task.cancel()
    first, later = count(sent, "first", steady), count(sent, "later", steady)
    record.say(f"before: {before[0]} of {before[1]} requests on the routes added later were served")
    record.say(f"in steady state: {first[0]} of {first[1]} on the first routes, {later[0]} of {later[1]} "
               "on those added later")
    if before[0] < before[1] * 0.9 or later[1] < 20 or first[0] < first[1] * 0.5:
        raise RuntimeError("the case did not come about")
    return later[0] / later[1] * 4 >= first[0] / first[1]


standin.main(FOLDER, case)
