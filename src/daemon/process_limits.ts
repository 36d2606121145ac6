/**
 * Limits of the process, and the connections that fit into them.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { getHeapStatistics } from "node:v8";

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

/** Heap that a connection takes with a call of which the body has not come, in bytes. */
const CONNECTION_HEAP_BYTES = 10_240;

/** Numbers of connections that the ports of a process may have open at a time. */
export interface ConnectionNumbers {
    readonly callers: number;
    /** Connections of other nodes and of operators. */
    readonly peers: number;
    /** Connections to each port with status pages. */
    readonly status: number;
}

/**
 * Divides the descriptors of a process among its ports.
 *
 * @param descriptors File descriptors that the process may have open.
 * @param heapBytes Limit of the heap, in bytes. Defaults to that of this process.
 */
export function divideDescriptors(descriptors: number, heapBytes = getHeapStatistics().heap_size_limit): ConnectionNumbers {
    const sockets = Math.max(MIN_SOCKETS, descriptors - FILE_DESCRIPTORS);
    const heapForConnections = Math.max(0, heapBytes - PROGRAM_HEAP_BYTES) * CONNECTION_HEAP_SHARE;
    return {
        callers: Math.floor(Math.min(sockets * CALLER_SHARE, Math.max(MIN_SOCKETS, heapForConnections / CONNECTION_HEAP_BYTES))),
        peers: Math.floor(sockets * PEER_SHARE),
        status: Math.max(MIN_STATUS_CONNECTIONS, Math.floor(sockets * STATUS_SHARE)),
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
