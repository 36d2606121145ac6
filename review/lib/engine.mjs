/**
 * Stand-in for an engine. It registers itself in the store, beats, crashes and comes back.
 *
 * @module
 */

import { createServer } from "node:http";

/** Time between two beats, in milliseconds. */
const BEAT_MS = 1_200;

let lastId = 0;

export class Engine {
    /** Requests that reached the engine, as `{ atMs, id, path, headers, ranAtMs, endedAtMs, isWhole }`. */
    arrivals = [];
    crashes = [];
    #sockets = new Set();
    #sequence = 0;
    #beats;
    #server;
    #active = 0;

    /**
     * @param store Store in which it registers.
     * @param settings Name, service, zone, slots, and `handle(request, response, arrival, engine)`, which answers.
     */
    constructor(store, settings) {
        this.store = store;
        this.settings = settings;
    }

    get isUp() {
        return this.#server !== undefined;
    }

    async start(port = 0) {
        lastId += 1;
        this.id = `i-${String(lastId).padStart(4, "0")}${this.settings.name}`;
        this.born = Date.now();
        this.#sequence = 0;
        this.#active = 0;
        const server = createServer({ keepAliveTimeout: 20_000 }, (request, response) => this.#receive(request, response));
        server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("error", () => undefined);
            socket.on("close", () => this.#sockets.delete(socket));
        });
        await new Promise((resolve, reject) => {
            server.once("error", reject);
            server.listen(port, "127.0.0.1", resolve);
        });
        this.#server = server;
        this.port = server.address().port;
        this.#beat();
        this.#beats = setInterval(() => this.#beat(), BEAT_MS);
    }

    /**
     * Ends at once and comes back at the same address under a new id; the old entry lapses after three beats.
     *
     * @param downMs Time until it is back, in milliseconds.
     * @param isSilent Whether its open connections stay silent instead of being reset.
     */
    crash(downMs, isSilent = false) {
        if (this.#server === undefined) {
            return;
        }
        this.crashes.push(performance.now());
        const { id, port } = this;
        this.#stop(isSilent);
        setTimeout(() => this.store.put("keyed.servers", id, undefined), 3 * BEAT_MS);
        setTimeout(() => void this.start(port).catch(() => undefined), downMs);
    }

    close() {
        this.#stop();
    }

    #stop(isSilent = false) {
        clearInterval(this.#beats);
        this.#server?.close();
        this.#server = undefined;
        for (const socket of this.#sockets) {
            if (isSilent) {
                socket.pause();
                socket.isSilent = true;
            }
            else {
                socket.resetAndDestroy();
            }
        }
        this.#sockets = new Set();
    }

    #beat() {
        const { service, zone, slots } = this.settings;
        this.#sequence += 1;
        this.store.put("keyed.servers", this.id, {
            Service: service,
            Address: `127.0.0.1:${this.port}`,
            Zone: zone,
            Version: "v1",
            Slots: slots,
            State: "ready",
            ColdRemainingMs: 0,
            Sequence: this.#sequence,
            born: this.born,
        });
    }

    #receive(request, response) {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("error", () => undefined);
        response.on("error", () => undefined);
        request.on("end", () => {
            const { headers, url } = request;
            const arrival = { atMs: performance.now(), id: headers["request-id"], path: url, engine: this.id, headers };
            this.arrivals.push(arrival);
            arrival.bytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
            if (headers["expect-instance"] !== undefined && headers["expect-instance"] !== this.id) {
                response.writeHead(421, { "Instance-Id": this.id, "Content-Length": 0 }).end();
                return;
            }
            if (this.#active >= this.settings.slots * 2) {
                response.writeHead(503, { "Not-Executed": "1", "Content-Length": 0 }).end();
                return;
            }
            this.#active += 1;
            response.on("close", () => {
                this.#active -= 1;
                arrival.endedAtMs = performance.now();
                arrival.isWhole = response.writableFinished;
            });
            void this.settings.handle(request, response, arrival, this);
        });
    }
}

/** Returns the engine that has got most requests in the last second. */
export function findBusiest(engines) {
    const fromMs = performance.now() - 1_000;
    const count = engine => engine.arrivals.filter(({ atMs }) => atMs >= fromMs).length;
    return engines.reduce((busiest, engine) => count(engine) > count(busiest) ? engine : busiest);
}
