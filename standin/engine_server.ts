/**
 * HTTP server of a simulated engine.
 *
 * @module
 */

import type { Server } from "node:http";
import type { EngineOrder } from "../src/protocol/mod.js";
import type { EngineControlModel } from "./engine_control_model.js";
import type { EngineModel } from "./engine_model.js";
import { sendJson, serveStandIn, setFaults, type StandInRequest } from "./stand_in_server.js";

/** Request id in answers that belong to another request. */
const MISMATCHED_ID = "another-request";

/**
 * Serves a simulated engine: `POST /v1/generate`, `GET /load`, `GET /cache-events`, `GET /counts`, `POST /faults`.
 *
 * @param port Port to listen on.
 * @param model Engine to serve.
 * @param control Control interface of the engine, behind `GET /setup` and `PUT /setup`. If omitted, orders are rejected.
 */
export function serveEngine(port: number, model: EngineModel, control?: EngineControlModel): Promise<Server> {
    return serveStandIn(port, async request => {
        switch (`${request.method} ${request.url.pathname}`) {
            case "POST /v1/generate":
                return generate(request, model);
            case "GET /load":
                return sendJson(request.response, model.readLoadReport());
            case "GET /cache-events":
                return sendJson(request.response, model.cacheEvents.read(Number(request.url.searchParams.get("after"))));
            case "GET /counts":
                return sendJson(request.response, model.counts);
            case "POST /faults":
                return setFaults(request, model.faults);
            case "GET /setup":
                return sendJson(request.response, control?.state);
            case "PUT /setup": {
                const accepted = control?.tryAccept(JSON.parse(request.body.toString("utf8")) as EngineOrder);
                request.response.writeHead(accepted === true ? 202 : 412).end();
                return;
            }
            default:
                request.response.writeHead(404).end();
        }
    });
}

async function generate(request: StandInRequest, model: EngineModel): Promise<void> {
    const { response, headers, body } = request;
    if (model.faults.refuse || model.faults.serverError) {
        response.writeHead(500).end();
        return;
    }
    const id = model.faults.cross ? MISMATCHED_ID : String(headers["x-request-id"]);
    const fromToken = Number(headers["x-from-token"] ?? 0);
    const disconnected = new AbortController();
    response.on("close", () => disconnected.abort());
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    let count = 0;
    for await (const event of model.generate({ id, body, fromToken }, disconnected.signal)) {
        if (event.kind === "token" && count === model.faults.breakAfterTokens) {
            response.destroy();
            return;
        }
        count += 1;
        const payload = event.kind === "token" ? { id, token: event.token } : { id, end: event.end };
        response.write(`data: ${JSON.stringify(payload)}\n\n`);
    }
    response.end();
}
