/**
 * Confirms by health checks that a server serves before it gets requests from a daemon that has restarted.
 * That daemon may have acknowledged before its restart that the server is leaving, and reports may arrive late.
 */
import type { Either } from "purify-ts/Either";
import type { RegisteredServer, ServerRegistration } from "../../coordination/registration/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type { HealthAnswer } from "../../protocol/dialect/index.js";
import type { Random } from "../../state/shared/index.js";
import type { PartLogger } from "../logging/index.js";
import { CONFIRMATION_BASE_MS, CONFIRMATION_MAXIMUM_MS } from "./OwnershipConstants.js";

/** Functions that the confirmation uses besides the registration. */
export interface ConfirmationDependencies {
    readonly log: PartLogger;
    readonly random: Random;
    /** Path of the health check of a service; undefined while no configuration contains it. */
    readHealthPath(service: string): string | undefined;
    /** Checks the server's health; Left holds the reason for a missing answer. */
    checkHealth(server: RegisteredServer, path: string): Promise<Either<string, HealthAnswer>>;
}

export class ServerConfirmation {
    readonly #registration: ServerRegistration;
    readonly #dependencies: ConfirmationDependencies;
    readonly #onConfirmed: () => void;
    #isRunning = false;
    #isStopped = false;

    constructor(registration: ServerRegistration, dependencies: ConfirmationDependencies, onConfirmed: () => void) {
        this.#registration = registration;
        this.#dependencies = dependencies;
        this.#onConfirmed = onConfirmed;
    }

    /** Starts the health checks, unless the server is confirmed or they are running already. */
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
        const delays = generateBackoffDelays(
            CONFIRMATION_BASE_MS,
            () => CONFIRMATION_MAXIMUM_MS,
            this.#dependencies.random,
        );
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
        const subject = `health check of ${server.serverId} after a restart`;
        (await this.#dependencies.checkHealth(server, path)).caseOf({
            Left: reason => {
                this.#dependencies.log.warn(`${subject} got no answer: ${reason}.`, { path, server });
            },
            Right: health => {
                if (health.isHealthy && health.serverId !== undefined) {
                    this.#registration.confirm(health.serverId);
                }
                const isOpen = !this.#registration.needsConfirmation();
                this.#dependencies.log.info(`${subject}: the server gets ${isOpen ? "requests" : "no requests yet"}.`, {
                    health,
                    path,
                    server,
                });
            },
        });
    }
}
