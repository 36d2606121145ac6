/**
 * What a daemon answers to operators about rollouts.
 *
 * @module
 */

import type {
    ChangeRolloutReply,
    ChangeRolloutRequest,
    ListRolloutsReply,
    ListRolloutsRequest,
    StartRolloutRequest,
} from "./gen/rollouts.js";

/** Answers operators about rollouts; the transport has checked their keys. */
export abstract class RolloutOperatorHandler {
    /** Starts a rollout, or refuses it. */
    abstract start(request: StartRolloutRequest): Promise<ChangeRolloutReply>;

    /** Pauses, resumes or rolls back a rollout, or refuses to. */
    abstract change(request: ChangeRolloutRequest): Promise<ChangeRolloutReply>;

    /** Describes rollouts as this node sees them. */
    abstract list(request: ListRolloutsRequest): Promise<ListRolloutsReply>;
}
