/**
 * Resolution of a call's workspace, operation and tier.
 *
 * @module
 */

import { hash } from "node:crypto";
import {
    type AcceptedCall,
    type ChatCompletion,
    type IncomingCall,
    parseChatCompletion,
    Refusal,
    RefusalType,
} from "../protocol/mod.js";
import {
    type Clock,
    type ConfigurationView,
    type Operation,
    type Pool,
    PoolKind,
    Semantics,
    type Workspace,
} from "../state/mod.js";

/** Path of model calls that name the operation in a header. */
const CHAT_PATH = "/v1/chat/completions";

/** Path pattern of model calls that name the operation in the path. */
const OPERATION_CHAT_PATH = /^\/v1\/operations\/([^/]+)\/chat\/completions$/;

/** Path pattern of plain-service calls. */
const SERVICE_PATH = /^\/v1\/services\/([^/]+)(\/.*)?$/;

/** Maximum length of an `Idempotency-Key`, in characters. */
const MAX_IDEMPOTENCY_KEY_LENGTH = 255;

/** Plain service that a call addresses, and the path below the service. */
interface ServiceTarget {
    readonly service: string;
    readonly path: string;
}

/** Validates incoming calls and resolves them to calls that can be scheduled. */
export class CallResolver {
    /**
     * @param configuration Configuration in effect.
     * @param clock Clock that sets the time of acceptance.
     */
    constructor(private readonly configuration: ConfigurationView, private readonly clock: Clock) {}

    /**
     * Resolves one call.
     *
     * @throws {Refusal} When the call is malformed, its workspace, operation or tier is unknown, or the node has no configuration.
     */
    resolve(incoming: IncomingCall): AcceptedCall {
        this.checkReady();
        const workspace = this.findWorkspace(incoming.bearerKey);
        const operation = this.findOperation(incoming, workspace);
        checkIdempotencyKey(incoming.idempotencyKey, operation);
        const tier = this.configuration.tier(operation.tier);
        if (tier === undefined) {
            throw new Refusal(
                RefusalType.UnknownOperation,
                `Operation "${operation.name}" names the unknown tier "${operation.tier}".`,
            );
        }
        const chat = this.parseBody(incoming, operation);
        const acceptedAtMs = this.clock.now();
        return {
            incoming,
            workspace,
            operation,
            tier,
            acceptedAtMs,
            deadlineMs: acceptedAtMs + operation.promise.answerMs,
            promptTokens: chat?.promptTokens ?? 0,
            maxOutputTokens: chat?.maxOutputTokens ?? 0,
            streamed: chat?.streamed ?? false,
            prefixBlocks: chat?.prefixBlocks ?? [],
        };
    }

    private checkReady(): void {
        if (this.configuration.current.version < 0) {
            throw new Refusal(RefusalType.NotReady, "This node has no configuration yet. Try again.", { retryAfterMs: 1_000 });
        }
    }

    private findWorkspace(bearerKey: string | undefined): Workspace {
        if (bearerKey === undefined) {
            throw new Refusal(
                RefusalType.UnknownWorkspace,
                'Header "authorization" is missing. Send "Bearer" and the workspace\'s key.',
                {
                    field: "authorization",
                },
            );
        }
        const workspace = this.configuration.workspaceByKeyHash(hash("sha256", bearerKey));
        if (workspace === undefined) {
            throw new Refusal(
                RefusalType.UnknownWorkspace,
                'Header "authorization" holds a key of no workspace. Ask an operator for one.',
                {
                    field: "authorization",
                },
            );
        }
        return workspace;
    }

    private findOperation(incoming: IncomingCall, workspace: Workspace): Operation {
        const [, service, servicePath = "/"] = SERVICE_PATH.exec(incoming.path) ?? [];
        if (service !== undefined) {
            return this.findServiceOperation(incoming, { service, path: servicePath }, workspace);
        }
        const name = incoming.path === CHAT_PATH ? incoming.operationName : OPERATION_CHAT_PATH.exec(incoming.path)?.[1];
        if (incoming.method !== "POST" || name === undefined) {
            throw toUnknownTargetRefusal(incoming);
        }
        const operation = this.configuration.operation(name, workspace.name);
        if (operation === undefined || this.poolOf(operation)?.kind !== PoolKind.Model) {
            throw new Refusal(
                RefusalType.UnknownOperation,
                `Header "foxtailrail-operation" names "${name}", which is no model operation.`,
                {
                    field: "foxtailrail-operation",
                },
            );
        }
        return operation;
    }

    private findServiceOperation(incoming: IncomingCall, target: ServiceTarget, workspace: Workspace): Operation {
        const { service, path } = target;
        const operation = this.configuration.operationByRoute({ service, path, method: incoming.method }, workspace.name);
        if (operation === undefined) {
            throw new Refusal(
                RefusalType.UnknownOperation,
                `No operation covers ${incoming.method} ${path} of service "${service}".`,
                {
                    field: "path",
                },
            );
        }
        return operation;
    }

    private poolOf(operation: Operation): Pool | undefined {
        return this.configuration.pool(operation.pool);
    }

    private parseBody(incoming: IncomingCall, operation: Operation): ChatCompletion | undefined {
        return this.poolOf(operation)?.kind === PoolKind.Model ? parseChatCompletion(incoming.body) : undefined;
    }
}

function checkIdempotencyKey(key: string | undefined, operation: Operation): void {
    if (key !== undefined && (key.length === 0 || key.length > MAX_IDEMPOTENCY_KEY_LENGTH)) {
        throw new Refusal(
            RefusalType.InvalidRequest,
            `Header "idempotency-key" has ${key.length} characters. Send 1 to ${MAX_IDEMPOTENCY_KEY_LENGTH}.`,
            {
                field: "idempotency-key",
            },
        );
    }
    if (key === undefined && operation.semantics === Semantics.RunOnce) {
        throw new Refusal(
            RefusalType.InvalidRequest,
            `Header "idempotency-key" is missing. Operation "${operation.name}" needs one.`,
            {
                field: "idempotency-key",
            },
        );
    }
}

function toUnknownTargetRefusal(incoming: IncomingCall): Refusal {
    if (incoming.path === CHAT_PATH && incoming.method === "POST") {
        return new Refusal(RefusalType.InvalidRequest, 'Header "foxtailrail-operation" is missing. Name an operation.', {
            field: "foxtailrail-operation",
        });
    }
    return new Refusal(RefusalType.UnknownOperation, `${incoming.method} ${incoming.path} is no call of this interface.`, {
        field: "path",
    });
}
