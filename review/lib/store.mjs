/**
 * Stand-in for the platform's store: keyed topics in memory, each with one partition, over HTTP.
 *
 * Each node gets a port of its own, so that it can be shown the servers at addresses of its own links to them.
 *
 * @module
 */

import { createServer } from "node:http";

/** Interval at which a held read looks for records, in milliseconds. */
const POLL_MS = 5;

/** Largest number of records in a page of the newest ones. */
const PAGE_RECORDS = 500;

export class Store {
    #topics = new Map();
    #servers = [];
    /** Writes of the system, as `{ atMs, topic, key, value }`. */
    appends = [];

    /**
     * Opens a port.
     *
     * @param {(entry: object) => object} view Returns a server's entry as the reader of this port gets it.
     * @returns {Promise<string>} Its address.
     */
    async open(view = entry => entry) {
        const server = createServer((request, response) => {
            this.#handle(request, response, view).catch(() => response.destroy());
        });
        this.#servers.push(server);
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        return `127.0.0.1:${server.address().port}`;
    }

    close() {
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    /** Appends a record as the operator or a server does; `undefined` drops the key. */
    put(topic, key, value) {
        this.#records(topic).push({ key, value: value === undefined ? "" : JSON.stringify(value) });
    }

    /** Returns the keys of a topic that have a value. */
    keys(topic) {
        return [...this.#newest(topic).keys()];
    }

    #records(topic) {
        if (!this.#topics.has(topic)) {
            this.#topics.set(topic, []);
        }
        return this.#topics.get(topic);
    }

    #newest(topic) {
        const newest = new Map();
        for (const [offset, { key, value }] of this.#records(topic).entries()) {
            newest.delete(key);
            if (value !== "") {
                newest.set(key, { value, offset });
            }
        }
        return newest;
    }

    async #handle(request, response, view) {
        response.setHeader("Store-Era", 1);
        const url = new URL(request.url, "http://store");
        const topic = url.searchParams.get("Topic") ?? "";
        const show = value => topic === "keyed.servers" && value !== "" ? JSON.stringify(view(JSON.parse(value))) : value;
        if (url.pathname === "/-/log-newest") {
            const after = url.searchParams.get("After") ?? "";
            const rest = [...this.#newest(topic)].sort(([left], [right]) => left < right ? -1 : 1).filter(([key]) => key > after);
            const page = rest.slice(0, PAGE_RECORDS);
            const items = page.map(([key, { value, offset }]) => {
                return { Key: key, Value: Buffer.from(show(value)).toString("base64"), Offset: offset };
            });
            this.#sendJson(response, 200, { Items: items, More: rest.length > page.length, End: this.#records(topic).length });
            return;
        }
        if (url.pathname === "/-/log-read") {
            await this.#read(topic, url.searchParams, response, show);
            return;
        }
        if (url.pathname === "/-/log-append") {
            const chunks = [];
            for await (const chunk of request) {
                chunks.push(chunk);
            }
            this.#append(topic, url.searchParams.get("At"), Buffer.concat(chunks), response);
            return;
        }
        response.writeHead(404).end();
    }

    async #read(topic, query, response, show) {
        const from = Number(query.get("From"));
        const records = this.#records(topic);
        if (from > records.length) {
            this.#sendJson(response, 410, { First: 0 });
            return;
        }
        const untilMs = performance.now() + Number(query.get("WaitMs") ?? 0);
        while (records.length <= from && performance.now() < untilMs && !response.destroyed) {
            await new Promise(resolve => setTimeout(resolve, POLL_MS));
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        const parts = records.slice(from).map(({ key, value }) => encode(key, show(value)));
        response.writeHead(200).end(Buffer.concat([head, ...parts]));
    }

    #append(topic, at, body, response) {
        const records = this.#records(topic);
        if (["keyed.op", "keyed.servers"].includes(topic)) {
            response.writeHead(403).end();
            return;
        }
        if (at !== null && Number(at) !== records.length) {
            this.#sendJson(response, 412, { End: records.length });
            return;
        }
        const offset = records.length;
        for (let position = 0; position + 4 <= body.length;) {
            const length = body.readUInt32BE(position);
            const keyLength = body[position + 4];
            const key = body.toString("utf8", position + 5, position + 5 + keyLength);
            const value = body.toString("utf8", position + 5 + keyLength, position + 4 + length);
            records.push({ key, value });
            this.appends.push({ atMs: performance.now(), topic, key, value });
            position += 4 + length;
        }
        this.#sendJson(response, 200, { Offset: offset, End: records.length });
    }

    #sendJson(response, status, body) {
        response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
}

function encode(key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = Buffer.from(value);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
    head[4] = keyBytes.length;
    return Buffer.concat([head, keyBytes, valueBytes]);
}
