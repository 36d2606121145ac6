/**
 * Calls of an operator to a daemon about rollouts.
 *
 * @module
 */

import { credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { rolloutWire } from "../protocol/mod.js";
import { OperatorError } from "./operator_client.js";

/** Metadata field that carries the operator's key. */
const OPERATOR_KEY_FIELD = "foxtailrail-operator-key";

/** Longest time to wait for an answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 20_000;

/** Callback of the gRPC library. */
type Reply<Answer> = (error: ServiceError | null, answer: Answer) => void;

/** Connection of an operator to one daemon's rollouts. */
export class RolloutClient {
    private readonly client: rolloutWire.RolloutOperatorClient;
    private readonly metadata = new Metadata();

    /**
     * @param address IP number and port for peers and operators.
     * @param key Operator's key.
     */
    constructor(readonly address: string, key: string | undefined) {
        this.client = new rolloutWire.RolloutOperatorClient(address, credentials.createInsecure());
        if (key !== undefined) {
            this.metadata.set(OPERATOR_KEY_FIELD, key);
        }
    }

    /** Starts a rollout. */
    start(request: rolloutWire.StartRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        return this.call("start rollout", reply => this.client.startRollout(request, this.metadata, deadline(), reply));
    }

    /** Pauses, resumes or rolls back a rollout. */
    change(request: rolloutWire.ChangeRolloutRequest): Promise<rolloutWire.ChangeRolloutReply> {
        return this.call("change rollout", reply => this.client.changeRollout(request, this.metadata, deadline(), reply));
    }

    /** Reads rollouts; all of them when no id is given. */
    list(rollout = ""): Promise<rolloutWire.ListRolloutsReply> {
        return this.call("read rollouts", reply => this.client.listRollouts({ rollout }, this.metadata, deadline(), reply));
    }

    /** Closes the connection. */
    close(): void {
        this.client.close();
    }

    private call<Answer>(step: string, start: (reply: Reply<Answer>) => void): Promise<Answer> {
        return new Promise((resolve, reject) => {
            start((error, answer) => {
                if (error) {
                    reject(new OperatorError(step, this.address, error.code === status.UNAUTHENTICATED, error));
                    return;
                }
                resolve(answer);
            });
        });
    }
}

function deadline(): { readonly deadline: number } {
    return { deadline: Date.now() + ANSWER_TIMEOUT_MS };
}
