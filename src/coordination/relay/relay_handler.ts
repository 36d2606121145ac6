/**
 * Admission of opaque calls: route, key, quota; then their way to a backend server.
 *
 * @module
 */

import type { RelayAnswer, RelayCall } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayConfiguration, RelayRoute, RelayWorkspace, ServiceShare } from "../../state/relay/mod.js";
import { type CallRecorder, RelayOutcome } from "./call_record.js";
import { RelayedCall, type RelayedCallSettings } from "./relayed_call.js";
import type { WorkspaceQuota } from "./workspace_quota.js";

/** Time after which a caller may come back while the node has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Time that a caller waits if it doesn't say, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Factor by which a route's usual deadline shrinks with each shorter one, so that it follows changes. */
const DEADLINE_DECAY = 0.9998;

/** Path of a call without its query. */
const PATH = /^[^?]*/;

/** Settings of a {@linkcode RelayHandler}. */
export interface RelayHandlerSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly quota: WorkspaceQuota;
    readonly recorder: CallRecorder;
    /** What calls need on their way to a backend server. */
    readonly relay: Omit<RelayedCallSettings, "clock" | "random" | "recorder">;
    /** Configuration in force, if one is known. */
    readonly configuration: () => RelayConfiguration | undefined;
}

/** Call that may be sent. */
interface Admission {
    readonly route: RelayRoute;
    readonly workspace: RelayWorkspace | undefined;
    readonly tokens: number;
}

/** Refusal at admission. */
interface AdmissionRefusal {
    readonly status: number;
    readonly text: string;
    readonly retryAfterMs?: number;
    readonly route?: RelayRoute;
    readonly workspace?: RelayWorkspace;
}

/** Takes calls from callers and answers each once. */
export class RelayHandler {
    private readonly usualDeadlines = new Map<string, number>();

    /** @param settings See {@linkcode RelayHandlerSettings}. */
    constructor(private readonly settings: RelayHandlerSettings) {}

    /** Serves one call until its answer has been written or its caller has gone. */
    async handle(call: RelayCall, answer: RelayAnswer): Promise<void> {
        const configuration = this.settings.configuration();
        const admission = this.admit(call, configuration);
        if ("status" in admission) {
            this.refuse(call, answer, admission, configuration);
            return;
        }
        const { route, workspace, tokens } = admission;
        const { clock, random, recorder, relay, quota } = this.settings;
        const deadlineMs = call.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
        const relayed = new RelayedCall({ ...relay, clock, random, recorder }, {
            call,
            answer,
            route,
            workspace,
            service: chooseService(route.shares, random),
            deadlineMs,
            usualDeadlineMs: this.learnDeadline(route.name, deadlineMs),
            configurationVersion: configuration?.version ?? 0,
        });
        const hasRun = await relayed.run();
        if (!hasRun && workspace !== undefined) {
            quota.refund(workspace, tokens);
        }
    }

    /** @returns The longest time that callers of a route have waited lately, in milliseconds. */
    private learnDeadline(route: string, deadlineMs: number): number {
        const known = this.usualDeadlines.get(route) ?? 0;
        const usual = Math.max(deadlineMs, known * DEADLINE_DECAY);
        this.usualDeadlines.set(route, usual);
        return usual;
    }

    private admit(call: RelayCall, configuration: RelayConfiguration | undefined): Admission | AdmissionRefusal {
        if (configuration === undefined) {
            return { status: 503, text: "The node has no configuration yet.", retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS };
        }
        const { head, target } = call;
        const route = configuration.routes.find(head.host, PATH.exec(target)?.[0] ?? "/");
        if (route === undefined) {
            return { status: 404, text: `No route leads to ${head.host} at this path.` };
        }
        const workspace = head.key === undefined ? undefined : configuration.workspaceByKey.get(head.key);
        if (workspace === undefined) {
            if (configuration.hasWorkspaces && !route.isPublic) {
                return { status: 401, text: "The key belongs to no workspace.", route };
            }
            return { route, workspace: undefined, tokens: 0 };
        }
        const tokens = head.size === undefined ? workspace.tokensOfPlainCall : head.size.prompt + head.size.maxOutput;
        const overMs = this.settings.quota.consume(workspace, tokens);
        if (overMs > 0) {
            const text = `Workspace ${workspace.name} is over its quota.`;
            return { status: 429, text, retryAfterMs: overMs, route, workspace };
        }
        return { route, workspace, tokens };
    }

    private refuse(
        call: RelayCall,
        answer: RelayAnswer,
        refused: AdmissionRefusal,
        configuration: RelayConfiguration | undefined,
    ): void {
        answer.sendOwn(refused);
        this.settings.recorder.record({
            call,
            route: refused.route,
            workspace: refused.workspace,
            configurationVersion: configuration?.version ?? 0,
            outcome: RelayOutcome.Refused,
            status: refused.status,
            reason: refused.text,
            places: [],
            times: { sentMs: undefined, firstMs: undefined, endMs: this.settings.clock.now() - call.arrivedAtMs },
        });
    }
}

function chooseService(shares: readonly ServiceShare[], random: RandomSource): string {
    let total = 0;
    for (const share of shares) {
        total += share.weight;
    }
    let left = random.next() * total;
    for (const share of shares) {
        left -= share.weight;
        if (left < 0) {
            return share.service;
        }
    }
    return shares.at(-1)?.service ?? "";
}
