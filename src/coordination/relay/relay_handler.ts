/**
 * Handler of opaque calls: checks the route, key and quota, then relays the call to a backend server.
 *
 * @module
 */

import { AnswerPlace, type LocalAnswer, type RelayAnswer, type RelayCall } from "../../protocol/relay/mod.js";
import type { Clock, RandomSource, RelayConfiguration, RelayRoute, RelayWorkspace, ServiceShare } from "../../state/relay/mod.js";
import { type CallRecorder, RelayOutcome } from "./call_record.js";
import { isWritableTarget } from "./detour_call.js";
import { type AdmittedCall, FAILED_INSIDE } from "./final_answer.js";
import { RelayedCall, type RelayedCallSettings } from "./relayed_call.js";
import type { WorkspaceQuota } from "./workspace_quota.js";

/** Time after which a caller may retry if the node has no configuration yet, in milliseconds. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 500;

/** Deadline of a call that states none, in milliseconds. */
const DEFAULT_DEADLINE_MS = 30_000;

/** Factor by which each call decays its route's estimated deadline unless its own is longer, so that the estimate follows changes. */
const DEADLINE_DECAY = 0.9998;

/** Matches the path of a call without its query. */
const PATH = /^[^?]*/;

/** Settings of a {@linkcode RelayHandler}. */
export interface RelayHandlerSettings {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly quota: WorkspaceQuota;
    readonly recorder: CallRecorder;
    /** Settings of the relayed calls. */
    readonly relay: Omit<RelayedCallSettings, "clock" | "random" | "recorder">;
    /** Returns the configuration in force, or `undefined` before the first one is read. */
    readonly configuration: () => RelayConfiguration | undefined;
}

/** Result of admitting a call. */
interface Admission {
    readonly route: RelayRoute;
    readonly workspace: RelayWorkspace | undefined;
    /** Tokens taken from the workspace's quota. */
    readonly tokens: number;
}

/** Result of refusing a call at admission. */
interface AdmissionRefusal extends LocalAnswer {
    readonly route?: RelayRoute;
    readonly workspace?: RelayWorkspace;
}

/** Receives calls from callers and answers each exactly once. */
export class RelayHandler {
    private readonly firstAttemptDeadlines = new Map<string, number>();

    /** @param settings See {@linkcode RelayHandlerSettings}. */
    constructor(private readonly settings: RelayHandlerSettings) {}

    /** Serves one call until its answer is written or its caller disconnects. */
    async handle(call: RelayCall, answer: RelayAnswer): Promise<void> {
        const configuration = this.settings.configuration();
        const admission = this.tryAdmit(call, configuration);
        if ("status" in admission) {
            this.refuse(call, answer, admission, configuration);
            return;
        }
        const { route, workspace, tokens } = admission;
        if (!route.isStream) {
            answer.promiseWhole();
        }
        const { clock, random, recorder, relay, quota } = this.settings;
        const deadlineMs = call.head.deadlineMs ?? DEFAULT_DEADLINE_MS;
        const relayed = new RelayedCall({ ...relay, clock, random, recorder }, {
            call,
            answer,
            route,
            workspace,
            service: chooseService(route.shares, random),
            deadlineMs,
            firstAttemptDeadlineMs: this.estimateFirstAttemptDeadline(route.name, deadlineMs),
            configurationVersion: configuration?.version ?? 0,
            isDetour: false,
        });
        const mayHaveRun = await relayed.run();
        if (!mayHaveRun && workspace !== undefined) {
            quota.refund(workspace, tokens);
        }
    }

    /** Serves one call that a peer has admitted and handed to this node. */
    async handleDetour(admitted: AdmittedCall): Promise<void> {
        const { clock, random, recorder, relay } = this.settings;
        await new RelayedCall({ ...relay, clock, random, recorder }, admitted).run();
    }

    /** @returns Estimated deadline of first attempts on a route, in milliseconds: the longest recent deadline, with decay. */
    private estimateFirstAttemptDeadline(route: string, deadlineMs: number): number {
        const previousMs = this.firstAttemptDeadlines.get(route) ?? 0;
        const estimateMs = Math.max(deadlineMs, previousMs * DEADLINE_DECAY);
        this.firstAttemptDeadlines.set(route, estimateMs);
        return estimateMs;
    }

    private tryAdmit(call: RelayCall, configuration: RelayConfiguration | undefined): Admission | AdmissionRefusal {
        try {
            return this.admit(call, configuration);
        }
        catch (error) {
            this.settings.recorder.logError(call.head.id, error);
            return { place: AnswerPlace.InternalError, status: 503, text: `The call has not run: ${FAILED_INSIDE}.` };
        }
    }

    private admit(call: RelayCall, configuration: RelayConfiguration | undefined): Admission | AdmissionRefusal {
        const place = AnswerPlace.Admission;
        if (configuration === undefined) {
            return {
                place,
                status: 503,
                text: "The node has no configuration yet.",
                retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
            };
        }
        const { head, target } = call;
        if (!isWritableTarget(target)) {
            return { place, status: 400, text: "The target contains a space or control character; encode it." };
        }
        const route = configuration.routes.find(head.host, PATH.exec(target)?.[0] ?? "/");
        if (route === undefined) {
            return { place, status: 404, text: `No route leads to ${head.host} at this path.` };
        }
        const workspace = head.key === undefined ? undefined : configuration.workspaceByKey.get(head.key);
        if (workspace === undefined) {
            if (configuration.hasWorkspaces && !route.isPublic) {
                return { place, status: 401, text: "The key belongs to no workspace.", route };
            }
            return { route, workspace: undefined, tokens: 0 };
        }
        const tokens = head.size === undefined ? workspace.defaultCallTokens : head.size.prompt + head.size.maxOutput;
        const retryAfterMs = this.settings.quota.consume(workspace, tokens);
        if (retryAfterMs > 0) {
            const text = `Workspace ${workspace.name} is over its quota.`;
            return { place, status: 429, text, retryAfterMs, route, workspace };
        }
        return { route, workspace, tokens };
    }

    private refuse(
        call: RelayCall,
        answer: RelayAnswer,
        refused: AdmissionRefusal,
        configuration: RelayConfiguration | undefined,
    ): void {
        const { place, status, text, retryAfterMs } = refused;
        answer.sendLocal({ place, status, text, retryAfterMs });
        this.settings.recorder.record({
            call,
            route: refused.route,
            workspace: refused.workspace,
            configurationVersion: configuration?.version ?? 0,
            isDetour: false,
            outcome: RelayOutcome.Refused,
            status,
            reason: text,
            placements: [],
            detours: [],
            times: { sentMs: undefined, firstMs: undefined, endMs: this.settings.clock.now() - call.arrivedAtMs },
        });
    }
}

/** @returns Service chosen at random in proportion to the shares' weights. */
function chooseService(shares: readonly ServiceShare[], random: RandomSource): string {
    let totalWeight = 0;
    for (const share of shares) {
        totalWeight += share.weight;
    }
    let remainder = random.next() * totalWeight;
    for (const share of shares) {
        remainder -= share.weight;
        if (remainder < 0) {
            return share.service;
        }
    }
    return shares.at(-1)?.service ?? "";
}
