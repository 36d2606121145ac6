/**
 * Callers that keep to no limit: they send bodies and heads that do not end and leave their connections open.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { connect, type Socket } from "node:net";
import { fileURLToPath } from "node:url";

/** Program of a crowd. */
const CROWD_PROGRAM = fileURLToPath(new URL("../crowd/rough_crowd.js", import.meta.url));

/** Bytes of one write of input without end, at least. */
const WRITE_BYTES = 65_536;

/** Time after which a caller whose connection was closed comes back, in milliseconds. */
const RETURN_AFTER_MS = 50;

/** What each caller sends after the request line and the headers that all calls have. */
export interface RoughInput {
    /** Whether the request line and these headers are sent. Defaults to true. */
    readonly hasHead?: boolean;
    /** Rest of the head, and bytes that are sent once. */
    readonly start: Buffer;
    /** Bytes that are sent again and again; none to stop after the start. */
    readonly repeated: Buffer;
}

const NO_BYTES = Buffer.alloc(0);

const CHUNKED = Buffer.from("Transfer-Encoding: chunked\r\n\r\n");

/** Beginning of a body of 2,000 bytes or more, in chunks. */
const SHORT_BODY = chunks(500, 4);

const LETTERS = "abcdefghijklmnopqrstuvwxyz";

/** Input by its description in a feature. */
const INPUTS: readonly (readonly [pattern: RegExp, make: (first: number, second: number) => RoughInput])[] = [
    [/^(\d+) bytes in chunks of (\d+) that stop short$/, (bytes, size) => ({
        start: Buffer.concat([CHUNKED, chunks(size, Math.floor(bytes / size))]),
        repeated: NO_BYTES,
    })],
    [/^bytes without end in chunks of (\d+)$/, size => ({
        start: CHUNKED,
        repeated: chunks(size, Math.ceil(WRITE_BYTES / size)),
    })],
    [/^bodies of (\d+) bytes, announced$/, bytes => ({
        start: Buffer.from(`Content-Length: ${bytes}\r\n\r\n`),
        repeated: Buffer.alloc(WRITE_BYTES),
    })],
    [/^heads without end$/, () => ({ start: NO_BYTES, repeated: Buffer.from(`X-Rough: ${"x".repeat(1_000)}\r\n`) })],
    [
        /^heads that stop after (\d+) bytes$/,
        bytes => ({ start: Buffer.from(`X-Rough: ${"x".repeat(bytes)}`), repeated: NO_BYTES }),
    ],
    [/^nothing$/, () => ({ hasHead: false, start: NO_BYTES, repeated: NO_BYTES })],
    [/^heads that stop after (\d+) fields$/, fields => ({ start: shortFields(fields), repeated: NO_BYTES })],
    [/^heads of (\d+) fields before bodies that stop short$/, fields => ({
        start: Buffer.concat([shortFields(fields), CHUNKED, SHORT_BODY]),
        repeated: NO_BYTES,
    })],
    [/^heads of (\d+) prompt parts before bodies that stop short$/, parts => ({
        start: Buffer.concat([promptParts(parts), CHUNKED, SHORT_BODY]),
        repeated: NO_BYTES,
    })],
    [/^whole calls with heads of (\d+) fields$/, fields => ({
        start: Buffer.concat([shortFields(fields), Buffer.from("Content-Length: 4\r\n\r\nbody")]),
        repeated: NO_BYTES,
    })],
    [/^(\d+) bytes of (\d+) announced$/, (bytes, announced) => ({
        start: Buffer.concat([Buffer.from(`Content-Length: ${announced}\r\n\r\n`), Buffer.alloc(bytes, "x")]),
        repeated: NO_BYTES,
    })],
];

/** Returns what a description in a feature means. */
export function parseRoughInput(text: string): RoughInput {
    for (const [pattern, make] of INPUTS) {
        const match = pattern.exec(text);
        if (match !== null) { // eslint-disable-line no-restricted-syntax -- result type of the language
            return make(Number(match[1]), Number(match[2]));
        }
    }
    throw new Error(`Cannot send "${text}": there is no such input`);
}

/** Header lines of calls without a workspace. */
const PLAIN_HEADERS: readonly string[] = ["Host: app.example"];

/** Crowd of {@linkcode RoughCallers} in a process of its own. */
export class RoughCrowd {
    private readonly child: ChildProcess;

    /**
     * @param address Address of the program.
     * @param path Path of the calls.
     * @param input What each caller sends, as features describe it.
     * @param count Number of callers.
     * @param headers Lines of the head that all calls have.
     */
    constructor(address: string, path: string, input: string, count: number, headers = PLAIN_HEADERS) {
        // Also reports a wrong description.
        parseRoughInput(input);
        const args = [CROWD_PROGRAM, address, path, JSON.stringify(headers), input, String(count)];
        this.child = spawn(process.execPath, args, { stdio: ["pipe", "pipe", "inherit"] });
    }

    /** Resolves once each caller has begun to send, or got no connection. */
    async awaitStart(): Promise<void> {
        await new Promise<void>((resolve, reject) => {
            this.child.stdout?.once("data", () => resolve());
            this.child.once("exit", () => reject(new Error("Cannot start a crowd: its process has ended")));
        });
    }

    /** Closes all connections. */
    leave(): void {
        this.child.kill("SIGKILL");
    }
}

/** Callers that send until they are told to leave. */
export class RoughCallers {
    private readonly sockets = new Set<Socket>();
    private hasLeft = false;

    /**
     * @param address Address of the program.
     * @param path Path of the calls.
     * @param input What each caller sends.
     * @param headers Lines of the head that all calls have.
     */
    constructor(
        private readonly address: string,
        private readonly path: string,
        private readonly input: RoughInput,
        private readonly headers = PLAIN_HEADERS,
    ) {}

    /** Connects the callers and resolves once each has begun to send, or got no connection. */
    async start(count: number): Promise<void> {
        await Promise.all(Array.from({ length: count }, () => this.send()));
    }

    /** Closes all connections. */
    leave(): void {
        this.hasLeft = true;
        for (const socket of this.sockets) {
            socket.destroy();
        }
    }

    private send(): Promise<void> {
        const [host, port] = this.address.split(":");
        const { hasHead = true, start, repeated } = this.input;
        const method = this.path.startsWith("/v1/") || this.path.startsWith("/safe/") ? "POST" : "GET";
        const head = [`${method} ${this.path} HTTP/1.1`, ...this.headers].map(line => `${line}\r\n`).join("");
        const socket = connect({ host, port: Number(port) });
        this.sockets.add(socket);
        const write = () => {
            let isWritable = repeated.length > 0;
            while (isWritable && !socket.destroyed) {
                isWritable = socket.write(repeated);
            }
        };
        socket.on("drain", write);
        socket.on("error", () => socket.destroy());
        socket.resume();
        return new Promise(resolve => {
            socket.on("connect", () => {
                socket.write(Buffer.concat([Buffer.from(hasHead ? head : ""), start]));
                write();
                resolve();
            });
            socket.on("close", () => {
                this.sockets.delete(socket);
                resolve();
                if (!this.hasLeft) {
                    setTimeout(() => this.hasLeft || void this.send(), RETURN_AFTER_MS);
                }
            });
        });
    }
}

/** Formats bytes in chunks of a size (RFC 9112, section 7.1). */
function chunks(size: number, count: number): Buffer {
    return Buffer.from(`${size.toString(16)}\r\n${"x".repeat(size)}\r\n`.repeat(count), "latin1");
}

/** Formats header fields of two letters each. */
function shortFields(count: number): Buffer {
    const letters = (first: number, second: number) =>
        `${LETTERS[first % LETTERS.length] ?? ""}${LETTERS[second % LETTERS.length] ?? ""}`;
    const fields = Array.from({ length: count }, (unused, index) => {
        return `${letters(index, Math.floor(index / LETTERS.length))}: ${letters(index * 7, index * 3)}\r\n`;
    });
    return Buffer.from(fields.join(""));
}

/** Formats the header with the parts of a prompt. */
function promptParts(count: number): Buffer {
    const parts = Array.from({ length: count }, (unused, index) => `${index.toString(16)}:${index % 10}`);
    return Buffer.from(`Prefix-Hash: ${parts.join(",")}\r\n`);
}
