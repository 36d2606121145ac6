/**
 * Handler of operators' calls about rollouts.
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

/** Handles calls about rollouts from operators, whom the transport has authenticated by their keys. */
export abstract class RolloutOperatorHandler {
    /** Starts a rollout, or refuses to. */
    abstract start(request: StartRolloutRequest): Promise<ChangeRolloutReply>;

    /** Pauses, resumes or rolls back a rollout, or refuses to. */
    abstract change(request: ChangeRolloutRequest): Promise<ChangeRolloutReply>;

    /** Returns the status of rollouts in this node's view. */
    abstract list(request: ListRolloutsRequest): Promise<ListRolloutsReply>;
}
