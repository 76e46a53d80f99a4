/**
 * Asks a server whether it serves before it gets work from a daemon that has restarted. That daemon may
 * have acknowledged the server's leaving in its former life, and what it hears may be late.
 */
import type { Either } from "purify-ts/Either";
import type { RegisteredServer, ServerRegistration } from "../../coordination/registration/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type { HealthAnswer } from "../../protocol/dialect/index.js";
import type { Random } from "../../state/shared/index.js";
import type { PartLogger } from "../logging/index.js";
import { CONFIRMATION_BASE_MS, CONFIRMATION_MAXIMUM_MS } from "./OwnershipConstants.js";

/** What the confirmation needs beside the registration. */
export interface ConfirmationDependencies {
    readonly log: PartLogger;
    readonly random: Random;
    /** Path of the health check of a service; undefined while no configuration tells it. */
    readHealthPath(service: string): string | undefined;
    /** Asks the server; Left tells why it gave no answer. */
    checkHealth(server: RegisteredServer, path: string): Promise<Either<string, HealthAnswer>>;
}

export class ServerConfirmation {
    readonly #registration: ServerRegistration;
    readonly #dependencies: ConfirmationDependencies;
    readonly #onConfirmed: () => void;
    #isRunning = false;
    #isStopped = false;

    constructor(registration: ServerRegistration, effects: ConfirmationDependencies, onConfirmed: () => void) {
        this.#registration = registration;
        this.#dependencies = effects;
        this.#onConfirmed = onConfirmed;
    }

    /** Begins to ask, unless the server is confirmed or being asked. */
    start(): void {
        if (!this.#isRunning && this.#registration.needsConfirmation()) {
            this.#isRunning = true;
            void this.#run();
        }
    }

    stop(): void {
        this.#isStopped = true;
    }

    async #run(): Promise<void> {
        const delays = generateBackoffDelays(CONFIRMATION_BASE_MS, CONFIRMATION_MAXIMUM_MS, this.#dependencies.random);
        while (!this.#isStopped && this.#registration.needsConfirmation()) {
            await this.#checkOnce();
            if (this.#registration.needsConfirmation()) {
                await new Promise(resolve => setTimeout(resolve, delays.next().value));
            }
        }
        this.#isRunning = false;
        if (!this.#isStopped) {
            this.#onConfirmed();
        }
    }

    async #checkOnce(): Promise<void> {
        const { server } = this.#registration;
        const path = server === undefined ? undefined : this.#dependencies.readHealthPath(server.service);
        if (server === undefined || path === undefined) {
            return;
        }
        const sentence = `health check of ${server.serverId} after a restart`;
        (await this.#dependencies.checkHealth(server, path)).caseOf({
            Left: reason => {
                this.#dependencies.log.warn(`${sentence} got no answer: ${reason}.`, { path, server });
            },
            Right: health => {
                if (health.isHealthy && health.serverId !== undefined) {
                    this.#registration.confirm(health.serverId);
                }
                const isOpen = !this.#registration.needsConfirmation();
                this.#dependencies.log.info(`${sentence}: it ${isOpen ? "gets work" : "gets no work yet"}.`, {
                    health,
                    path,
                    server,
                });
            },
        });
    }
}
