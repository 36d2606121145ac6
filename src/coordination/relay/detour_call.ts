/**
 * Conversion of admitted calls to and from the message with which a node hands them to a peer.
 *
 * @module
 */

import type { DetourCall, DetourRoute } from "../../protocol/relay/mod.js";
import { type RelayAnswer, type RelayHeaders } from "../../protocol/relay/mod.js";
import { type RelayRoute, Semantics } from "../../state/relay/mod.js";
import type { AdmittedCall } from "./final_answer.js";
import { homesOf } from "./server_filter.js";

/** Largest number in a field of 32 bits. */
const MAX_UINT32 = 0xffff_ffff;

/** What a node adds to an admitted call when it hands it to a peer. */
export interface DetourSettings {
    readonly nowMs: number;
    /** Backend servers to which the peer may send the call. */
    readonly maxAttempts: number;
    /** Id of the last stream event that the caller has received. */
    readonly lastEventId: string | undefined;
}

/** Returns the message for a call. */
export function toDetourCall(admitted: AdmittedCall, settings: DetourSettings): DetourCall {
    const { call, route, workspace, service, deadlineMs, firstAttemptDeadlineMs, configurationVersion } = admitted;
    const homes = homesOf(route, workspace);
    const sentRoute: DetourRoute = {
        name: route.name,
        isRepeatable: route.semantics === Semantics.Repeatable,
        isStream: route.isStream,
        isResumable: route.isResumable,
        timeoutMs: route.timeoutMs,
        objectiveMs: route.objectiveMs,
        rank: toUint32(route.rank),
        maxAttempts: toUint32(settings.maxAttempts),
    };
    return {
        headers: [...call.head.endToEnd],
        method: call.method,
        target: call.target,
        body: call.body,
        lastEventId: settings.lastEventId ?? "",
        service,
        route: homes === undefined ? sentRoute : undefined,
        workspace: workspace?.name ?? "",
        workspaceRank: toUint32(workspace?.rank ?? 0),
        elapsedMs: settings.nowMs - call.arrivedAtMs,
        deadlineMs,
        firstAttemptDeadlineMs,
        configurationVersion: toUint32(configurationVersion),
        homeRegions: [...homes ?? []],
        confinedRoute: homes === undefined ? undefined : sentRoute,
    };
}

/** @returns The nearest number that a field of 32 bits holds. */
function toUint32(value: number): number {
    return Math.min(MAX_UINT32, Math.max(0, Math.round(value)));
}

/** Matches the token of a method; see RFC 9110, section 5.6.2. */
const METHOD = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/;

/** Matches a target that can be written into a request line. */
const TARGET = /^\/[\x21-\xff]*$/;

/** Matches what can be written as a header. */
const HEADER_NAME = METHOD;
const HEADER_VALUE = /^[\t\x20-\x7e\x80-\xff]*$/;

/** Returns whether a call's target can be written into a request line. */
export function isWritableTarget(target: string): boolean {
    return !target.startsWith("/") || TARGET.test(target);
}

/** @returns What is wrong with a message whose call cannot be written or timed; `undefined` for any other. */
function findProblem({ method, target, headers, ...times }: DetourCall, route: DetourRoute | undefined): string | undefined {
    const { elapsedMs, deadlineMs, firstAttemptDeadlineMs } = times;
    const durations = [elapsedMs, deadlineMs, firstAttemptDeadlineMs, route?.timeoutMs ?? 0, route?.objectiveMs ?? 0];
    if (!durations.every(duration => Number.isFinite(duration))) {
        return "A time of the call is no number; send finite ones.";
    }
    if (!METHOD.test(method) || !TARGET.test(target)) {
        return "The method or the target cannot be written into a request line.";
    }
    const isWritable = headers.length % 2 === 0 &&
        headers.every((text, index) => (index % 2 === 0 ? HEADER_NAME : HEADER_VALUE).test(text));
    return isWritable ? undefined : "The headers cannot be written.";
}

/** Where a handed call comes from and goes to. */
export interface DetourArrival {
    readonly headers: RelayHeaders;
    readonly answer: RelayAnswer;
    /** Aborted when the sender disconnects. */
    readonly callerGone: AbortSignal;
    readonly nowMs: number;
}

/**
 * Returns the call of a message as the sender admitted it.
 *
 * @returns A sentence that states what is wrong if the message is invalid.
 */
export function fromDetourCall(
    message: DetourCall,
    { headers, answer, callerGone, nowMs }: DetourArrival,
): AdmittedCall | string {
    const route = message.confinedRoute ?? message.route;
    const problem = findProblem(message, route);
    if (problem !== undefined) {
        return problem;
    }
    const head = headers.readCall(message.headers);
    if (typeof head === "string") {
        return head;
    }
    if (route === undefined || message.service === "") {
        return "The call names no route or no service; send both.";
    }
    const sentRoute: RelayRoute = {
        ...route,
        host: head.host,
        pathPrefix: "/",
        semantics: route.isRepeatable ? Semantics.Repeatable : Semantics.DispatchOnce,
        maxPauseMs: undefined,
        shares: [{ service: message.service, weight: 1 }],
        isPublic: message.workspace === "",
        homes: message.confinedRoute === undefined && message.homeRegions.length === 0 ? undefined : new Set(message.homeRegions),
    };
    return {
        call: {
            head: { ...head, lastEventId: message.lastEventId === "" ? undefined : message.lastEventId },
            method: message.method,
            target: message.target,
            body: Buffer.from(message.body),
            arrivedAtMs: nowMs - message.elapsedMs,
            callerGone,
        },
        answer,
        route: sentRoute,
        workspace: message.workspace === "" ? undefined : {
            name: message.workspace,
            rank: message.workspaceRank,
            tokensPerSecond: undefined,
            burstTokens: 0,
            defaultCallTokens: 0,
        },
        service: message.service,
        deadlineMs: message.deadlineMs,
        firstAttemptDeadlineMs: message.firstAttemptDeadlineMs,
        configurationVersion: message.configurationVersion,
        isDetour: true,
    };
}
