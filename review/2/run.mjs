/**
 * An engine in trouble answers a stream with bytes without end.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { countBy, makeConfiguration, runCase, TROUBLE } from "../lib/case.mjs";
import { HOST, KEY, send, sleep } from "../lib/client.mjs";
import { Engine, findBusiest } from "../lib/engine.mjs";
import { findPorts, NodeProcess } from "../lib/node_process.mjs";
import { Store } from "../lib/store.mjs";

/** Line that the engine repeats until the caller closes; it sends each line as it is made, and no empty line. */
const LINE = "data: x\n";

const CONTACT_MS = 3_000;
const NODES = 3;
const STREAM_ENGINES = 2;
const PLAIN_ENGINES = 2;
const SLOTS = 11;

/** Time before the trouble, its duration, and the time after it in which requests are sent. */
const CALM_MS = 3_000;
const TROUBLE_MS = 4_000;
const AFTER_MS = 3_000;

/** Requests a second to each node. */
const PLAIN_PER_S = 10;
const STREAMS_PER_S = 4;

/** Route of the plain requests, and time for which their clients wait. */
const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 6_000;

/** Time after the route's timeout at which a final answer is due, and requests without one that the rule needs at least. */
const LATE_MS = 500;
const MIN_LATE = 8;

/** Stream of a sound engine. */
const EVENTS = 6;
const EVENT_MS = 20;

/** Time without an event after which clients abandon a stream. */
const GAP_MS = 3_200;

/** Ticks of processor time in a second. */
const TICKS_PER_S = 100;

const trouble = { engine: undefined, answers: 0, bytes: 0 };

async function stream(request, response, arrival, engine) {
    arrival.ranAtMs = performance.now();
    response.writeHead(200, {
        "Request-Id": arrival.id,
        "Response-Seal": `seal-${arrival.id}`,
        "Content-Type": "text/event-stream",
    });
    if (engine === trouble.engine) {
        trouble.answers += 1;
        await writeWithoutEnd(response);
        return;
    }
    for (let event = 1; event <= EVENTS && !response.destroyed; event += 1) {
        response.write(`id: ${event}\ndata: ${arrival.id} ${event}\n\n`);
        await sleep(EVENT_MS);
    }
    response.end();
}

async function writeWithoutEnd(response) {
    const { socket } = response;
    while (!socket.destroyed) {
        trouble.bytes += LINE.length;
        const wait = response.write(LINE) ? resolve => setImmediate(resolve) : resolve => {
            response.once("drain", resolve);
            socket.once("close", resolve);
        };
        await new Promise(wait);
    }
}

async function answer(request, response, arrival) {
    arrival.ranAtMs = performance.now();
    await sleep(40);
    const body = `answer to ${arrival.id}`;
    response.writeHead(200, {
        "Request-Id": arrival.id,
        "Response-Seal": `seal-${arrival.id}`,
        "Content-Length": body.length,
    });
    response.end(body);
}

/** Returns the processor time of a process, in seconds. */
function processorTime(pid) {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").split(" ");
    return (Number(fields[13]) + Number(fields[14])) / TICKS_PER_S;
}

await runCase(import.meta.url, async current => {
    const store = new Store();
    current.onEnd(() => store.close());
    const address = await store.open();
    store.put("keyed.op", "config", makeConfiguration({
        host: HOST,
        key: KEY,
        services: ["huvo11a", "wuno96b"],
        routes: [
            {
                PathPrefix: "/lohu930/",
                Kind: "streaming",
                Service: "huvo11a",
                TimeoutMs: 15_000,
                TargetLatencyMs: 800,
                MaxAttempts: 1,
                Sticky: true,
                Resumable: false,
                GapTargetMs: 400,
            },
            { PathPrefix: "/puxa403/", Kind: "unsafe", Service: "wuno96b", TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 300, MaxAttempts: 1 },
        ],
    }));
    const engines = [];
    const startEngine = async (name, service, handle) => {
        const engine = new Engine(store, { name, service, zone: "zone-a", slots: SLOTS, handle });
        await engine.start();
        current.onEnd(() => engine.close());
        engines.push(engine);
    };
    for (let index = 1; index <= STREAM_ENGINES; index += 1) {
        await startEngine(`s${index}`, "huvo11a", stream);
    }
    for (let index = 1; index <= PLAIN_ENGINES; index += 1) {
        await startEngine(`p${index}`, "wuno96b", answer);
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
    const endMs = startMs + CALM_MS + TROUBLE_MS + AFTER_MS;
    const usedBefore = nodes.map(node => processorTime(node.pid));
    const results = [];
    const pending = [];
    let next = 0;
    const call = async (kind, index) => {
        next += 1;
        const id = `${kind}-${next}`;
        const isStream = kind === "stream";
        const sentAtMs = performance.now();
        const got = await send({
            port: nodes[index].callerPort,
            id,
            path: isStream ? "/lohu930/2f" : "/puxa403/2f",
            body: `body ${id}`,
            limitMs: isStream ? 15_000 : DEADLINE_MS,
            gapMs: isStream ? GAP_MS : 0,
            headers: isStream ? { "Model": "m", "Token-Usage": "500,40", "Prefix-Hash": `5c1e07a2:60,${next}:440` } : {},
        });
        results.push({ kind, id, index, sentAtMs, ...got });
    };
    const streamEngines = engines.filter(engine => engine.settings.service === "huvo11a");
    let plain = 0;
    let streams = 0;
    while (performance.now() < endMs) {
        const elapsedMs = performance.now() - startMs;
        const isInTrouble = TROUBLE && elapsedMs >= CALM_MS && elapsedMs < CALM_MS + TROUBLE_MS;
        trouble.engine = isInTrouble ? trouble.engine ?? findBusiest(streamEngines) : undefined;
        for (; plain < elapsedMs / 1_000 * PLAIN_PER_S; plain += 1) {
            pending.push(...nodes.map((node, index) => call("plain", index)));
        }
        for (; streams < elapsedMs / 1_000 * STREAMS_PER_S; streams += 1) {
            pending.push(...nodes.map((node, index) => call("stream", index)));
        }
        await sleep(10);
    }
    trouble.engine = undefined;
    await Promise.all(pending);

    const calls = results.filter(({ kind }) => kind === "plain");
    const atTimeout = calls.filter(({ status, elapsedMs }) => status === 0 || elapsedMs > TIMEOUT_MS);
    const late = calls.filter(({ status, elapsedMs }) => status === 0 || elapsedMs > TIMEOUT_MS + LATE_MS);
    const ran = new Set(engines.flatMap(engine => engine.arrivals).map(({ id }) => id));
    current.note(`answers without end: ${trouble.answers}, of ${trouble.bytes} bytes together`);
    for (const [index, node] of nodes.entries()) {
        const own = calls.filter(tried => tried.index === index);
        const used = (processorTime(node.pid) - usedBefore[index]).toFixed(1);
        current.note(`${node.settings.name}: ${used} s of processor time in ${
            ((performance.now() - startMs) / 1_000).toFixed(1)
        } s; slowest plain request ${Math.max(...own.map(({ elapsedMs }) => elapsedMs))} ms; unanswered ${
            own.filter(({ status }) => status === 0).length
        } of ${own.length}`);
    }
    current.note(`plain requests: ${countBy(calls, ({ status }) => status)}; streams: ${
        countBy(results.filter(({ kind }) => kind === "stream"), ({ status, isComplete }) => `${status}${isComplete ? "" : ", cut"}`)
    }`);
    current.note(`plain requests unanswered at the route's ${TIMEOUT_MS} ms: ${atTimeout.length}; without an answer ${LATE_MS} ms later: ${
        late.length
    }, of which ${late.filter(({ id }) => ran.has(id)).length} reached an engine (more than half, and ${MIN_LATE} or more, break the rule)`);
    return late.length >= MIN_LATE && late.length > atTimeout.length / 2;
});
