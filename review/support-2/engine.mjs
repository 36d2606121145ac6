// Stand-in for an engine or plain service: admits calls in order, runs `slots` of them at once, and registers itself in the store.

import { createServer } from "node:http";

/** Interval of an engine's entries in the store, in milliseconds, as on the platform's pages. */
export const HEARTBEAT_MS = 1_200;

/** Intervals without an entry after which the store drops the entry. */
const MISSED_HEARTBEATS = 3;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Sound engine, unless `plan` says otherwise. */
export class Engine {
    /** Whether the engine is running. */
    isUp = false;
    state = "ready";
    #sequence = 0;
    #starts = 0;
    #running = 0;
    #waiting = [];
    #sockets = new Set();
    #removal;
    #lifeEnd = new AbortController();

    /**
     * @param settings `store`, `service`, `name`, `host`, `zone`, `version`, `slots`, `queue`, `keepsId`: whether a restart keeps the
     *     id, `onArrival(call)` called with each call that arrives, `plan(call)`: returns how a call is run, as
     *     `{ firstMs, events, gapMs, crash, status, headers }`; a plan without `events` is a plain answer after `firstMs`.
     */
    constructor(settings) {
        this.settings = settings;
    }

    get slots() {
        return this.settings.slots;
    }

    async start() {
        const { host } = this.settings;
        this.#lifeEnd = new AbortController();
        this.#starts += 1;
        this.#sequence = 0;
        this.#running = 0;
        this.#waiting = [];
        this.born = Date.now();
        if (this.id === undefined || !this.settings.keepsId) {
            this.id = `${this.settings.name}-${this.#starts}`;
        }
        const server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
            this.#handle(request, response).catch(() => response.destroy());
        });
        server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
            socket.on("error", () => undefined);
        });
        this.server = server;
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port ?? 0, host, resolve);
        });
        this.port = server.address().port;
        clearTimeout(this.#removal);
        this.isUp = true;
        this.#beat(this.#lifeEnd.signal);
    }

    /** Ends as a process does that crashes; the store drops the entry after some heartbeats. */
    crash() {
        if (!this.isUp) {
            return;
        }
        this.#end();
        const { id } = this;
        this.#removal = setTimeout(() => this.settings.store.put("keyed.servers", id, undefined), MISSED_HEARTBEATS * HEARTBEAT_MS);
    }

    /** Ends as planned, with its entry. */
    stop() {
        this.#end();
        clearTimeout(this.#removal);
    }

    /** Drops the entry, as an engine that leaves. */
    deregister() {
        this.state = "gone";
        this.settings.store.put("keyed.servers", this.id, undefined);
    }

    /** Reports a state in the store at once. */
    report(state) {
        this.state = state;
        this.#write();
    }

    #end() {
        this.isUp = false;
        this.#lifeEnd.abort();
        this.server?.close();
        for (const socket of this.#sockets) {
            socket.destroy();
        }
    }

    #write() {
        const { store, service, zone, version, slots } = this.settings;
        this.#sequence += 1;
        store.put("keyed.servers", this.id, {
            Service: service,
            Address: `${this.settings.host}:${this.port}`,
            Zone: zone,
            Version: version,
            Slots: slots,
            State: this.state,
            ColdRemainingMs: 0,
            Sequence: this.#sequence,
            born: this.born,
        });
    }

    async #beat(signal) {
        while (!signal.aborted) {
            if (this.state !== "gone") {
                this.#write();
            }
            await sleep(HEARTBEAT_MS);
        }
    }

    async #handle(request, response) {
        const arrivedAtMs = performance.now();
        const life = this.#lifeEnd.signal;
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const { headers, method, url } = request;
        const id = headers["request-id"];
        const call = { id, method, url, headers, body: Buffer.concat(chunks), engine: this, incarnation: `${this.id}@${this.born}`, arrivedAtMs };
        const head = { "Request-Id": id ?? "", ...this.settings.headers?.() };
        if (id === undefined) {
            response.writeHead(400, { ...head, "Not-Executed": "1" }).end();
            return;
        }
        if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
            response.writeHead(421, { ...head, "Instance-Id": this.id, "Not-Executed": "1" }).end();
            return;
        }
        this.settings.onArrival?.(call);
        if (this.#running >= this.settings.slots && this.#waiting.length >= this.settings.queue) {
            this.settings.onRefused?.(call);
            response.writeHead(503, { ...head, "Not-Executed": "1" }).end();
            return;
        }
        await this.#admit();
        try {
            if (response.destroyed || life.aborted) {
                return;
            }
            await this.#run(call, response, head, life);
        }
        finally {
            if (!life.aborted) {
                this.#running -= 1;
                this.#waiting.shift()?.();
            }
        }
    }

    async #admit() {
        if (this.#running >= this.settings.slots) {
            await new Promise(resolve => this.#waiting.push(resolve));
        }
        this.#running += 1;
    }

    async #run(call, response, head, life) {
        const plan = this.settings.plan(call);
        const startedAtMs = performance.now();
        this.settings.onRun?.(call, plan);
        await sleep(plan.firstMs);
        if (life.aborted || response.destroyed) {
            return;
        }
        const seal = { "Response-Seal": `seal.${call.id}` };
        if (plan.crash) {
            response.writeHead(200, { ...head, ...seal, "Content-Type": "text/event-stream" });
            response.write("id: 1\ndata: be");
            await sleep(2);
            if (!life.aborted) {
                plan.crash(call);
            }
            return;
        }
        if (plan.events === undefined) {
            const body = plan.body ?? `answer to ${call.id}`;
            response.writeHead(plan.status ?? 200, { ...head, ...seal, "Content-Length": Buffer.byteLength(body) }).end(body);
            this.settings.onEnded?.(call, plan, performance.now() - startedAtMs);
            return;
        }
        response.writeHead(200, { ...head, ...seal, "Content-Type": "text/event-stream" });
        for (let event = 1 + Number(call.headers["last-event-id"] ?? 0); event <= plan.events; event += 1) {
            if (life.aborted || response.destroyed) {
                return;
            }
            response.write(`id: ${event}\ndata: ${call.id} ${event}\n\n`);
            await sleep(plan.gapMs);
        }
        response.end();
        this.settings.onEnded?.(call, plan, performance.now() - startedAtMs);
    }
}
