/**
 * HTTP server of a simulated plain service.
 *
 * @module
 */

import type { Server } from "node:http";
import { ENGINE_PROFILES } from "./engine_model.js";
import type { ServiceModel } from "./service_model.js";
import { sendJson, serveStandIn, setFaults, type StandInRequest } from "./stand_in_server.js";

/**
 * Serves a simulated plain service: `GET /load`, `GET /effects`, `POST /faults`; all other paths are service calls.
 *
 * @param port Port to listen on.
 * @param model Plain service to serve.
 */
export function servePlainService(port: number, model: ServiceModel): Promise<Server> {
    return serveStandIn(port, async request => {
        switch (`${request.method} ${request.url.pathname}`) {
            case "GET /load":
                return sendJson(request.response, idleReport());
            case "GET /effects":
                return sendJson(request.response, { requests: model.requests, counts: model.ledger.counts() });
            case "POST /faults":
                return setFaults(request, model.faults);
            default:
                return send(request, model);
        }
    });
}

async function send(request: StandInRequest, model: ServiceModel): Promise<void> {
    const { method, url, headers, body, response } = request;
    const key = headers["idempotency-key"];
    const answer = await model.send({
        id: String(headers["x-request-id"]),
        method,
        target: url.pathname + url.search,
        contentType: headers["content-type"],
        idempotencyKey: typeof key === "string" ? key : undefined,
        body,
    });
    if (model.faults.breakAfterEffect) {
        response.destroy();
        return;
    }
    const requestId = model.faults.cross ? "another-request" : String(headers["x-request-id"]);
    response.writeHead(answer.status, { "content-type": answer.contentType, "x-request-id": requestId });
    response.end(answer.body);
}

function idleReport(): object {
    const { engineClass } = ENGINE_PROFILES.fast;
    return { version: "1.0", engineClass, waiting: 0, running: 0, waitingTokens: 0, atMs: Date.now() };
}
