/**
 * Limits of the process, and the connections that fit into them.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { getHeapStatistics } from "node:v8";
import { MAX_HELD_HEAD_BYTES } from "../transport/relay/mod.js";

/** File with the limits of the process on Linux. */
const LIMITS_FILE = "/proc/self/limits";

/** File descriptors where the system does not tell the limit; the usual one. */
const DEFAULT_DESCRIPTORS = 1_024;

/** Descriptors that are left to files, pipes and timers. */
const FILE_DESCRIPTORS = 200;

/** Least number of descriptors for connections. */
const MIN_SOCKETS = 64;

/** Shares of the descriptors for connections; the rest is for those that the process opens itself. */
const CALLER_SHARE = 3 / 4;
const PEER_SHARE = 1 / 8;
const STATUS_SHARE = 1 / 64;

/** Least number of connections to the port of a status page. */
const MIN_STATUS_CONNECTIONS = 8;

/** Part of the heap that the program itself takes, in bytes. */
const PROGRAM_HEAP_BYTES = 33_554_432;

/** Share of the rest of the heap that connections and the calls on them may take. */
const CONNECTION_HEAP_SHARE = 1 / 2;

/** Share of that rest that heads which are not complete may take at the port for callers, and at each other port. */
const CALLER_HEAD_SHARE = 1 / 4;
const OTHER_HEAD_SHARE = 1 / 16;

/** Least memory of incomplete heads of a port, in bytes. */
const MIN_HEAD_BYTES = 1_048_576;

/** Heap that a connection takes with a call of which the body has not come, in bytes. */
const CONNECTION_HEAP_BYTES = 10_240;

/** What the connections of a port may take. */
export interface PortLimits {
    readonly maxConnections: number;
    /** Memory of heads that are not complete, in bytes. */
    readonly maxHeadBytes: number;
}

/** Limits of the ports of a process. */
export interface ProcessPorts {
    readonly callers: PortLimits;
    /** Port for other nodes and for operators. */
    readonly peers: PortLimits;
    /** Each port with status pages. */
    readonly status: PortLimits;
}

/**
 * Divides the descriptors and the heap of a process among its ports.
 *
 * @param descriptors File descriptors that the process may have open.
 * @param heapBytes Limit of the heap, in bytes. Defaults to that of this process.
 */
export function dividePorts(descriptors: number, heapBytes = getHeapStatistics().heap_size_limit): ProcessPorts {
    const sockets = Math.max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS);
    const freeBytes = Math.max(0, heapBytes - PROGRAM_HEAP_BYTES);
    const heapConnections = Math.max(MIN_SOCKETS, freeBytes * CONNECTION_HEAP_SHARE / CONNECTION_HEAP_BYTES);
    const headBytes = (share: number) => Math.max(MIN_HEAD_BYTES, Math.min(MAX_HELD_HEAD_BYTES, freeBytes * share));
    return {
        callers: {
            maxConnections: Math.floor(Math.min(sockets * CALLER_SHARE, heapConnections)),
            maxHeadBytes: headBytes(CALLER_HEAD_SHARE),
        },
        peers: { maxConnections: Math.floor(sockets * PEER_SHARE), maxHeadBytes: headBytes(OTHER_HEAD_SHARE) },
        status: {
            maxConnections: Math.max(MIN_STATUS_CONNECTIONS, Math.floor(sockets * STATUS_SHARE)),
            maxHeadBytes: headBytes(OTHER_HEAD_SHARE),
        },
    };
}

/** Returns the number of file descriptors that this process may have open. */
export function readDescriptorLimit(): number {
    try {
        const limit = /^Max open files\s+(\d+)/m.exec(readFileSync(LIMITS_FILE, "utf8"))?.[1];
        return limit === undefined ? DEFAULT_DESCRIPTORS : Number(limit);
    }
    catch {
        return DEFAULT_DESCRIPTORS;
    }
}
