/** Counts what the link of a VM carries, by kind and direction, so that what fills it can be told. */

/** What bytes on the link belong to. */
export const LinkTrafficKind = {
    /** Answers to callers of this VM, from the own server or another one. */
    CallerAnswers: "callerAnswers",
    /** Requests between daemons. */
    Requests: "requests",
    /** Answers between daemons. */
    Answers: "answers",
    /** Copies and differences of versions, and requests for them. */
    Versions: "versions",
    /** Demands and grants of quotas. */
    Quotas: "quotas",
    /** All other messages between daemons, such as handshakes, pings and records. */
    Sessions: "sessions",
} as const;
export type LinkTrafficKind = (typeof LinkTrafficKind)[keyof typeof LinkTrafficKind];

export const LinkDirection = { In: "in", Out: "out" } as const;
export type LinkDirection = (typeof LinkDirection)[keyof typeof LinkDirection];

export interface LinkTrafficCount {
    readonly direction: LinkDirection;
    readonly kind: LinkTrafficKind;
    /** Without the overhead of connections and packets. */
    readonly bytes: number;
}

export class LinkTraffic {
    readonly #counts = new Map<string, LinkTrafficCount>();

    record(direction: LinkDirection, kind: LinkTrafficKind, bytes: number): void {
        const key = `${direction} ${kind}`;
        this.#counts.set(key, { bytes: (this.#counts.get(key)?.bytes ?? 0) + bytes, direction, kind });
    }

    /** Bytes received from other daemons since the start. */
    get receivedBytes(): number {
        return this.list()
            .filter(({ direction }) => direction === LinkDirection.In)
            .reduce((sum, { bytes }) => sum + bytes, 0);
    }

    /** Bytes of each kind and direction since the start; those that the link hasn't carried are 0. */
    list(): readonly LinkTrafficCount[] {
        return Object.values(LinkDirection).flatMap(direction =>
            Object.values(LinkTrafficKind).map(kind =>
                this.#counts.get(`${direction} ${kind}`) ?? { bytes: 0, direction, kind }
            )
        );
    }
}
