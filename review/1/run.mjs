/**
 * An engine in trouble answers plain requests with bytes without end.
 *
 * @module
 */

import { countBy, makeConfiguration, runCase, TROUBLE } from "../lib/case.mjs";
import { HOST, keptConnection, KEY, send, sleep } from "../lib/client.mjs";
import { Engine, findBusiest } from "../lib/engine.mjs";
import { findPorts, NodeProcess } from "../lib/node_process.mjs";
import { Store } from "../lib/store.mjs";

/** Bytes of a chunk of an answer without end, and chunks of one write. */
const CHUNK_BYTES = 2;
const CHUNKS = 4_000;

const CONTACT_MS = 3_000;
const NODES = 2;
const ENGINES = 4;
const SLOTS = 11;

/** Time before the trouble, its duration, and the time after it in which requests are sent. */
const CALM_MS = 4_000;
const TROUBLE_MS = 3_000;
const AFTER_MS = 3_000;

/** Users that send requests to each node, one after the other on a connection of their own. */
const USERS = 16;
const WORK_MS = 400;
const TIMEOUT_MS = 2_000;
const DEADLINE_MS = 4_000;

const trouble = { engine: undefined, ids: new Set(), bytes: 0 };

async function answer(request, response, arrival, engine) {
    arrival.ranAtMs = performance.now();
    if (engine === trouble.engine) {
        trouble.ids.add(arrival.id);
        writeWithoutEnd(response.socket, arrival.id);
        return;
    }
    await sleep(WORK_MS);
    const body = `answer to ${arrival.id}`;
    response.writeHead(200, {
        "Request-Id": arrival.id,
        "Response-Seal": `seal-${arrival.id}`,
        "Content-Length": body.length,
    });
    response.end(body);
}

/** Writes a proper head and then chunks until the caller closes. */
function writeWithoutEnd(socket, id) {
    socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Seal: seal-${id}\r\nTransfer-Encoding: chunked\r\n\r\n`);
    const chunks = Buffer.from(`${CHUNK_BYTES.toString(16)}\r\n${"x".repeat(CHUNK_BYTES)}\r\n`.repeat(CHUNKS));
    const write = () => {
        while (!socket.destroyed) {
            trouble.bytes += chunks.length;
            if (!socket.write(chunks)) {
                return;
            }
        }
    };
    socket.on("drain", write);
    write();
}

await runCase(import.meta.url, async current => {
    const store = new Store();
    current.onEnd(() => store.close());
    const address = await store.open();
    const service = "wuno96b";
    store.put("keyed.op", "config", makeConfiguration({
        host: HOST,
        key: KEY,
        services: [service],
        routes: [{ PathPrefix: "/puxa403/", Kind: "unsafe", TimeoutMs: TIMEOUT_MS, TargetLatencyMs: 300, MaxAttempts: 1 }],
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
    const endMs = startMs + CALM_MS + TROUBLE_MS + AFTER_MS;
    const results = [];
    let next = 0;
    const runUser = async node => {
        let agent = keptConnection();
        let answered = 0;
        while (performance.now() < endMs) {
            next += 1;
            const id = `plain-${next}`;
            const sentAtMs = performance.now();
            const got = await send({
                port: node.callerPort,
                id,
                path: "/puxa403/2f",
                body: `body ${id}`,
                agent,
                limitMs: DEADLINE_MS,
            });
            results.push({ id, isKept: answered > 0, sentAtMs, ...got });
            answered += 1;
            if (got.status === 0) {
                agent.destroy();
                agent = keptConnection();
                answered = 0;
                await sleep(200);
            }
        }
        agent.destroy();
    };
    const users = nodes.flatMap(node => Array.from({ length: USERS }, () => runUser(node)));
    await sleep(CALM_MS);
    trouble.engine = TROUBLE ? findBusiest(engines) : undefined;
    await sleep(TROUBLE_MS);
    trouble.engine = undefined;
    await Promise.all(users);

    const engineById = new Map();
    for (const arrival of engines.flatMap(engine => engine.arrivals)) {
        engineById.set(arrival.id, arrival.engine);
    }
    const isClosed = ({ error }) => error !== "" && !error.includes("given up");
    const lost = results.filter(({ id, isKept, status, error }) => {
        return isKept && status === 0 && isClosed({ error }) && engineById.has(id) && !trouble.ids.has(id);
    });
    current.note(`answers without end: ${trouble.ids.size}, of ${trouble.bytes} bytes together`);
    const ends = nodes.flatMap(node => node.ends.map(end => ({ ...end, node })));
    for (const { atMs, code, signal, node } of ends) {
        const line = node.log.join("").split("\n").find(text => text.includes("FATAL")) ?? "";
        const atS = ((atMs - startMs - CALM_MS) / 1_000).toFixed(2);
        current.note(`${node.settings.name} ended by itself ${atS} s from the trouble, exit code ${code}, signal ${signal}: ${line}`);
    }
    current.note(`requests: ${countBy(results, ({ status, error }) => status === 0 ? `none (${error})` : status)}`);
    current.note(`requests from kept connections that were passed on to a sound engine and whose connection closed without an answer: ${
        lost.length
    } (at most 3)`);
    for (const { id, error, sentAtMs } of lost.slice(0, 10)) {
        const atS = ((sentAtMs - startMs - CALM_MS) / 1_000).toFixed(2);
        current.note(`${id}, sent ${atS} s from the trouble, reached ${engineById.get(id)}: ${error}`);
    }
    return lost.length > 3;
});
