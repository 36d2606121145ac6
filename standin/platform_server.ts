/**
 * HTTP servers of the simulated platform: log service, VM list and weight store.
 *
 * @module
 */

import type { Server } from "node:http";
import type { Vm } from "../src/state/mod.js";
import type { LogModel } from "./log_model.js";
import { sendJson, serveStandIn, setFaults, type StandInRequest } from "./stand_in_server.js";
import type { VmListModel } from "./vm_list_model.js";
import type { WeightStoreModel } from "./weight_store_model.js";

/** Pattern of the path of a stream's records. */
const RECORDS_PATH = /^\/streams\/([^/]+)\/records$/;

/** Serves a log: `POST` and `GET /streams/{stream}/records`, `POST /faults`. */
export function serveLog(port: number, model: LogModel): Promise<Server> {
    return serveStandIn(port, async request => {
        const [, stream] = RECORDS_PATH.exec(request.url.pathname) ?? [];
        if (stream === undefined) {
            return setFaults(request, model.faults);
        }
        if (request.method === "POST") {
            return sendJson(request.response, { offset: await model.append(stream, request.body) });
        }
        return readRecords(request, model, stream);
    });
}

/** Serves a VM list: `GET /vms`, and `PUT /vms` to set it. */
export function serveVmList(port: number, model: VmListModel): Promise<Server> {
    return serveStandIn(port, async request => {
        if (request.method === "PUT") {
            model.set(JSON.parse(request.body.toString("utf8")) as readonly Vm[]);
        }
        sendJson(request.response, await model.read());
    });
}

/** Serves a weight store: `GET /state`. */
export function serveWeightStore(port: number, model: WeightStoreModel): Promise<Server> {
    return serveStandIn(port, async request => sendJson(request.response, await model.readState()));
}

async function readRecords(request: StandInRequest, model: LogModel, stream: string): Promise<void> {
    const query = request.url.searchParams;
    const page = await model.read(stream, Number(query.get("from")), {
        maxRecords: Number(query.get("max")),
        waitMs: Number(query.get("waitMs")),
    });
    const records = page.records.map(record => ({ offset: record.offset, data: Buffer.from(record.data).toString("base64") }));
    sendJson(request.response, { ...page, records });
}
