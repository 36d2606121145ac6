// Stand-in for the platform's store: keyed topics with one partition, in memory, over HTTP.

import { createServer } from "node:http";

/** Time that an answer takes, in milliseconds, as on the sheets. */
const ANSWER_MS = 4;

/** Most records in a page of `log-newest`. */
const PAGE_RECORDS = 500;

/** Interval at which a waiting read looks for records, in milliseconds. */
const POLL_MS = 5;

const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Answers `log-append`, `log-read` and `log-newest`. */
export class Store {
    /** Called with each request: `{ path, topic, after, remote }`; may return a promise that holds the answer back. */
    onRequest = () => undefined;
    #topics = new Map();
    #listeners = [];
    #server = createServer((request, response) => {
        this.#handle(request, response).catch(() => response.destroy());
    });

    async start(host) {
        await new Promise(resolve => this.#server.listen(0, host, resolve));
        this.address = `${host}:${this.#server.address().port}`;
    }

    close() {
        this.#server.close();
        this.#server.closeAllConnections();
    }

    /** Calls a function with topic, key and value of each record that is appended. */
    listen(listener) {
        this.#listeners.push(listener);
    }

    /** Appends a record as the operator or an engine does; without a value, the key is dropped. */
    put(topic, key, value) {
        const text = value === undefined ? "" : JSON.stringify(value);
        this.#append(topic, Buffer.concat([Buffer.from([Buffer.byteLength(key)]), Buffer.from(key), Buffer.from(text)]));
    }

    #records(topic) {
        if (!this.#topics.has(topic)) {
            this.#topics.set(topic, []);
        }
        return this.#topics.get(topic);
    }

    #append(topic, content) {
        const keyEnd = 1 + content[0];
        const key = content.toString("utf8", 1, keyEnd);
        this.#records(topic).push({ key, content, value: content.subarray(keyEnd) });
        for (const listener of this.#listeners) {
            listener(topic, key, content.toString("utf8", keyEnd));
        }
    }

    async #handle(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const topic = query.get("Topic") ?? "";
        await sleep(ANSWER_MS);
        await this.onRequest({ path: url.pathname, topic, after: query.get("After") ?? "", remote: request.socket.remoteAddress });
        response.setHeader("store-era", "1");
        switch (url.pathname) {
            case "/-/log-append":
                this.#answerAppend(topic, query, Buffer.concat(chunks), response);
                return;
            case "/-/log-read":
                await this.#answerRead(topic, query, response);
                return;
            case "/-/log-newest":
                this.#answerNewest(topic, query.get("After") ?? "", response);
                return;
            default:
                response.writeHead(404).end();
        }
    }

    #answerAppend(topic, query, body, response) {
        const records = this.#records(topic);
        const offset = records.length;
        if (query.has("At") && Number(query.get("At")) !== offset) {
            response.writeHead(412, { "content-type": "application/json" }).end(JSON.stringify({ End: offset }));
            return;
        }
        for (let at = 0; at + 4 <= body.length;) {
            const length = body.readUInt32BE(at);
            this.#append(topic, body.subarray(at + 4, at + 4 + length));
            at += 4 + length;
        }
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ Offset: offset, End: records.length }));
    }

    async #answerRead(topic, query, response) {
        const records = this.#records(topic);
        const from = Number(query.get("From"));
        if (from > records.length) {
            response.writeHead(410, { "content-type": "application/json" }).end(JSON.stringify({ First: 0 }));
            return;
        }
        const endMs = performance.now() + Number(query.get("WaitMs") ?? 0);
        while (records.length <= from && performance.now() < endMs && !response.destroyed) {
            await sleep(POLL_MS);
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(records.length), 0);
        const parts = [head];
        for (const { content } of records.slice(from)) {
            const length = Buffer.alloc(4);
            length.writeUInt32BE(content.length);
            parts.push(length, content);
        }
        response.writeHead(200).end(Buffer.concat(parts));
    }

    #answerNewest(topic, after, response) {
        const newest = new Map();
        for (const [offset, { key, value }] of this.#records(topic).entries()) {
            newest.delete(key);
            if (value.length > 0) {
                newest.set(key, { Key: key, Value: value.toString("base64"), Offset: offset });
            }
        }
        const items = [...newest.values()].sort((left, right) => left.Key < right.Key ? -1 : 1).filter(({ Key }) => Key > after);
        const page = items.slice(0, PAGE_RECORDS);
        const body = { Items: page, More: items.length > page.length, End: this.#records(topic).length };
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(body));
    }
}
