/**
 * A part of a prompt crashes each engine that begins to write an answer on it.
 *
 * @module
 */

import { countBy, makeConfiguration, runCase, TROUBLE } from "../lib/case.mjs";
import { HOST, KEY, send, sleep } from "../lib/client.mjs";
import { Engine } from "../lib/engine.mjs";
import { findPorts, NodeProcess } from "../lib/node_process.mjs";
import { Store } from "../lib/store.mjs";

/** Events that an engine has written when it crashes. */
const EVENTS_BEFORE_CRASH = Number(process.env.EVENTS ?? 2);

/** The part that crashes engines, and the one that all requests of the route share. */
const BAD_PART = "bad0feed";
const SHARED_PART = "5c1e07a2";

const CONTACT_MS = 3_000;
const NODES = 3;
const ENGINES = 6;
const SLOTS = 11;

/** Time for which an engine is down after a crash. */
const DOWN_MS = 3_000;

/** Time without requests that have the part, and with them. */
const CALM_MS = 8_000;
const BAD_MS = 24_000;
const SOUND_PER_S = 20;
const BAD_PER_S = 3;

/** Stream of an engine. */
const EVENTS = 12;
const FIRST_MS = 60;
const EVENT_MS = 25;

/** Time without an event after which clients abandon a stream: eight times `GapTargetMs`. */
const GAP_MS = 3_200;

async function answer(request, response, arrival, engine) {
    arrival.isBad = String(request.headers["prefix-hash"]).includes(BAD_PART);
    await sleep(FIRST_MS);
    if (response.destroyed) {
        return;
    }
    arrival.ranAtMs = performance.now();
    response.writeHead(200, {
        "Request-Id": arrival.id,
        "Response-Seal": `seal-${arrival.id}`,
        "Content-Type": "text/event-stream",
        "Engine-Load": `1,0,${SLOTS}`,
    });
    const after = Number(request.headers["last-event-id"] ?? 0);
    for (let event = after + 1; event <= EVENTS && !response.destroyed; event += 1) {
        response.write(`id: ${event}\ndata: ${arrival.id} ${event}\n\n`);
        await sleep(EVENT_MS);
        if (TROUBLE && arrival.isBad && event - after >= EVENTS_BEFORE_CRASH) {
            engine.crash(DOWN_MS);
            return;
        }
    }
    response.end();
}

await runCase(import.meta.url, async current => {
    const store = new Store();
    current.onEnd(() => store.close());
    const address = await store.open();
    const service = "huvo11a";
    store.put("keyed.op", "config", makeConfiguration({
        host: HOST,
        key: KEY,
        services: [service],
        routes: [{
            PathPrefix: "/pufi791/",
            Kind: "streaming",
            TimeoutMs: 12_000,
            TargetLatencyMs: 400,
            MaxAttempts: 2,
            Sticky: true,
            Resumable: true,
            GapTargetMs: 400,
        }],
    }));
    const engines = [];
    for (let index = 1; index <= ENGINES; index += 1) {
        const engine = new Engine(store, { name: `e${index}`, service, zone: "zone-a", slots: SLOTS, handle: answer });
        await engine.start();
        current.onEnd(() => engine.close());
        engines.push(engine);
    }
    const nodes = [];
    for (let index = 1; index <= NODES; index += 1) {
        const settings = { name: `front-${index}`, zone: "zone-a", folder: current.folder, store: address };
        const node = new NodeProcess({ ...settings, ports: await findPorts(4) });
        node.start();
        current.onEnd(() => node.kill());
        nodes.push(node);
    }
    await Promise.all(nodes.map(node => node.awaitReady()));
    await sleep(CONTACT_MS);

    const startMs = performance.now();
    const endMs = startMs + CALM_MS + BAD_MS;
    const results = [];
    const pending = [];
    let next = 0;
    const call = async kind => {
        next += 1;
        const id = `${kind}-${next}`;
        const lastPart = next.toString(16).padStart(8, "0");
        const parts = [`${SHARED_PART}:60`, ...(kind === "bad" ? [`${BAD_PART}:200`] : []), `${lastPart}:250`];
        const sentAtMs = performance.now();
        const got = await send({
            port: nodes[next % NODES].callerPort,
            id,
            path: "/pufi791/2f",
            body: `body ${id}`,
            gapMs: GAP_MS,
            headers: { "Model": "m", "Token-Usage": "510,60", "Prefix-Hash": parts.join(",") },
        });
        results.push({ kind, id, sentAtMs, ...got });
    };
    let sound = 0;
    let bad = 0;
    while (performance.now() < endMs) {
        const elapsedMs = performance.now() - startMs;
        for (; sound < elapsedMs / 1_000 * SOUND_PER_S; sound += 1) {
            pending.push(call("sound"));
        }
        for (; bad < (elapsedMs - CALM_MS) / 1_000 * BAD_PER_S; bad += 1) {
            pending.push(call("bad"));
        }
        await sleep(10);
    }
    await Promise.all(pending);

    const crashes = engines.flatMap(engine => engine.crashes).sort((left, right) => left - right);
    const fifthMs = crashes[4] ?? crashes.at(-1) ?? startMs + CALM_MS;
    const arrivals = engines.flatMap(engine => engine.arrivals).sort((left, right) => left.atMs - right.atMs);
    const begun = new Set(arrivals.filter(({ ranAtMs }) => ranAtMs !== undefined).map(({ id }) => id));
    const share = calls => calls.filter(({ id }) => begun.has(id)).length / calls.length;
    const soundCalls = results.filter(({ kind }) => kind === "sound");
    const badCalls = results.filter(({ kind }) => kind === "bad");
    // A second is left to the last requests before the part comes.
    const calm = soundCalls.filter(({ sentAtMs }) => sentAtMs < startMs + CALM_MS - 1_000);
    const late = soundCalls.filter(({ sentAtMs }) => sentAtMs > fifthMs + 2 * CONTACT_MS);
    const badLate = arrivals.filter(({ isBad, atMs }) => TROUBLE && isBad && atMs > fifthMs + CONTACT_MS);
    const ending = ({ status, isComplete }) => `${status}${isComplete ? "" : ", broken off"}`;
    current.note(`engines: ${ENGINES}; events written before a crash: ${EVENTS_BEFORE_CRASH}; crashes: ${crashes.length}`);
    current.note(`crashes, seconds from the first request with the part: ${
        crashes.map(atMs => ((atMs - startMs - CALM_MS) / 1_000).toFixed(1)).join(" ")
    }`);
    current.note(`BUDGET: requests with the part that reached engines later than ${CONTACT_MS} ms after the fifth crash: ${
        badLate.length
    } (at most 3)`);
    current.note(`LOST: sound requests of the route that began at the first attempt: before ${share(calm).toFixed(3)} of ${
        calm.length
    }; from ${2 * CONTACT_MS} ms after the fifth crash ${share(late).toFixed(3)} of ${late.length} (at least half as often)`);
    current.note(`sound requests before: ${countBy(calm, ending)}`);
    current.note(`sound requests late: ${countBy(late, ending)}`);
    current.note(`requests with the part: ${countBy(badCalls, ending)}`);
    const isLost = calm.length >= 20 && late.length >= 20 && share(late) < share(calm) / 2;
    return badLate.length > 3 || isLost;
});
