/**
 * Clients for the platform's log service, VM list and weight store over HTTP.
 *
 * @module
 */

import { z } from "zod";
import {
    Executed,
    type LogPage,
    type LogReadSettings,
    LogService,
    PlatformError,
    VmList,
    WeightStore,
    type WeightStoreState,
} from "../protocol/mod.js";
import { type Vm, VmRole, VmState } from "../state/mod.js";
import { type HttpClient, isConnectError } from "./http_client.js";

/** Timeout of a call in addition to the wait time that it requests, in milliseconds. */
const ANSWER_TIMEOUT_MS = 2_000;

/** Default maximum number of records in one read. */
const DEFAULT_MAX_RECORDS = 1_000;

const appendSchema = z.object({ offset: z.int() });

const pageSchema = z.object({
    firstOffset: z.int(),
    endOffset: z.int(),
    records: z.array(z.object({ offset: z.int(), data: z.string() })),
});

const vmSchema = z.object({
    id: z.string(),
    role: z.enum(VmRole),
    address: z.string(),
    failureDomain: z.string(),
    state: z.enum(VmState),
    pool: z.string().optional(),
});

const weightStoreSchema = z.object({ bytesPerSecond: z.number(), activeLoads: z.number() });

/** Request to a platform service. */
interface PlatformCall {
    readonly step: string;
    readonly method: "GET" | "POST";
    readonly path: string;
    readonly body?: Uint8Array;
    readonly waitMs?: number;
}

/** Endpoint of a platform service. */
class PlatformEndpoint {
    constructor(private readonly client: HttpClient, private readonly address: string) {}

    /** Sends one request and validates its answer against a schema. */
    async call<Answer>(call: PlatformCall, schema: z.ZodType<Answer>): Promise<Answer> {
        try {
            const timeoutMs = ANSWER_TIMEOUT_MS + (call.waitMs ?? 0);
            const { status, body } = await this.client.request(this.address, {
                method: call.method,
                path: call.path,
                headers: {},
                body: call.body === undefined ? undefined : Buffer.from(call.body),
            }, { timeoutMs });
            if (status !== 200) {
                throw new Error(`status ${status}`);
            }
            return schema.parse(JSON.parse(body.toString("utf8")));
        }
        catch (cause) {
            const executed = isConnectError(cause) ? Executed.No : Executed.Unknown;
            throw new PlatformError(call.step, this.address, executed, cause);
        }
    }
}

/** Client for the log service over HTTP. */
export class HttpLogService extends LogService {
    private readonly endpoint: PlatformEndpoint;

    /**
     * @param client Connection pools.
     * @param address IP address and port of the log service.
     */
    constructor(client: HttpClient, address: string) {
        super();
        this.endpoint = new PlatformEndpoint(client, address);
    }

    override async append(stream: string, data: Uint8Array): Promise<number> {
        const call: PlatformCall = {
            step: `append to stream ${stream}`,
            method: "POST",
            path: `/streams/${stream}/records`,
            body: data,
        };
        return (await this.endpoint.call(call, appendSchema)).offset;
    }

    override async read(stream: string, fromOffset: number, settings: LogReadSettings = {}): Promise<LogPage> {
        const maxRecords = settings.maxRecords ?? DEFAULT_MAX_RECORDS;
        const waitMs = settings.waitMs ?? 0;
        const call: PlatformCall = {
            step: `read stream ${stream}`,
            method: "GET",
            path: `/streams/${stream}/records?from=${fromOffset}&max=${maxRecords}&waitMs=${waitMs}`,
            waitMs,
        };
        const page = await this.endpoint.call(call, pageSchema);
        const records = page.records.map(record => ({ offset: record.offset, data: Buffer.from(record.data, "base64") }));
        return { ...page, records };
    }
}

/** Client for the VM list over HTTP. */
export class HttpVmList extends VmList {
    private readonly endpoint: PlatformEndpoint;

    /**
     * @param client Connection pools.
     * @param address IP address and port of the VM list.
     */
    constructor(client: HttpClient, address: string) {
        super();
        this.endpoint = new PlatformEndpoint(client, address);
    }

    override read(): Promise<readonly Vm[]> {
        return this.endpoint.call({ step: "read VM list", method: "GET", path: "/vms" }, z.array(vmSchema));
    }
}

/** Client for the weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
    private readonly endpoint: PlatformEndpoint;

    /**
     * @param client Connection pools.
     * @param address IP address and port of the weight store.
     */
    constructor(client: HttpClient, address: string) {
        super();
        this.endpoint = new PlatformEndpoint(client, address);
    }

    override readState(): Promise<WeightStoreState> {
        return this.endpoint.call({ step: "read weight store", method: "GET", path: "/state" }, weightStoreSchema);
    }
}
