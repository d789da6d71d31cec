"""A route that is added for a service whose endpoints don't report their load is never served."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standins import Endpoint, Requester, config, run, trouble  # noqa: E402

SECONDS = 40
# The change comes at this time; its route is judged from `configApply` and more on.
CHANGE_AT_S = 8
STEADY_AT_S = 14
REQUESTERS = 8
DEADLINE_MS = 2500
# Requests on added routes from which the rule applies, and the smallest share of the service of
# the first routes.
LEAST_REQUESTS = 20
LEAST_SHARE = 0.25


async def send(number, record, entry, path, answers, begin, end):
    """Sends requests one after the other, a fifth of a second apart."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(max(0.0, begin - loop.time()))
    requester = Requester(record, entry.front)
    count = 0
    while loop.time() < end:
        count += 1
        attempt = f"{path.strip('/').split('/')[0]}-{number:02d}x{count:06d}"
        sent = loop.time()
        status = await requester.send("POST", "hulo84.example", path, attempt, DEADLINE_MS, b"slot")
        answers.append((sent, status))
        await asyncio.sleep(0.2)
    requester.close()


async def body(record, installation):
    store = installation.store
    await store.start()
    # "The endpoints of some services add `X-Carobdrift-Server-Load`": wuno96b does, kafi81c doesn't.
    for service, tells_load in (("wuno96b", True), ("kafi81c", False)):
        for number in range(6):
            endpoint = Endpoint(record, service, f"i-{len(installation.endpoints):08x}", "sofia-a",
                                slots=6, queue=12, work_s=0.21, tells_load=tells_load, seed=number)
            await endpoint.start(store)
            installation.endpoints.append(endpoint)
    route = {"host": "hulo84.example", "kind": "unsafe", "timeout": "1200ms",
             "targetLatency": "500ms", "priority": 1, "maxAttempts": 2}
    first = {"r-first": {**route, "prefix": "/first/", "service": "wuno96b"}}
    added = {"r-added": {**route, "prefix": "/added/", "service": "kafi81c"}}
    services = ["wuno96b", "kafi81c"]
    store.put("op", "config", config(7, first, services))
    if not await installation.start_entries(["sofia-a", "sofia-b"]):
        record.say("the entries did not become ready")
        return None
    loop = asyncio.get_running_loop()
    start = loop.time()
    end = start + SECONDS
    answers = {"first": [], "added": []}
    tasks = [asyncio.create_task(send(number, record, installation.entries[number % 2], "/first/a",
                                      answers["first"], start, end))
             for number in range(REQUESTERS)]
    if trouble():
        await asyncio.sleep(CHANGE_AT_S)
        store.put("op", "config", config(12, first | added, services))
        record.line("desired state 12 adds the route /added/")
        tasks += [asyncio.create_task(send(number, record, installation.entries[number % 2],
                                           "/added/a", answers["added"], start + STEADY_AT_S, end))
                  for number in range(REQUESTERS)]
    await asyncio.gather(*tasks)
    served = {}
    for name, results in answers.items():
        steady = [status for sent, status in results if sent >= start + STEADY_AT_S]
        statuses = {status: steady.count(status) for status in set(steady)}
        served[name] = steady.count("200") / len(steady) if steady else None
        record.say(f"{name} route: requests={len(steady)} answers={statuses}")
    count = sum(1 for _ in answers["added"])
    if count < LEAST_REQUESTS:
        return False
    record.say(f"served: first {served['first']:.3f}, added {served['added']:.3f}")
    return served["added"] < LEAST_SHARE * served["first"]


sys.exit(run(HERE, body))
