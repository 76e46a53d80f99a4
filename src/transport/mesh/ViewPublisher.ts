import { MemberState } from "../../state/members/index.js";
import type { Member, MemberTable } from "../../state/members/index.js";
import type { ConfigurationInForce, MeshView } from "../../state/view/index.js";
import type { Timers } from "../timers/index.js";

/** Time for which changes are collected before they are published together. */
const PUBLISH_DELAY_MS = 10;
const SERVING_STATES: ReadonlySet<MemberState> = new Set([MemberState.Starting, MemberState.Live, MemberState.Leaving]);

/** Rebuilds the view on the first read after a change, and notifies subscribers of changes. */
export class ViewPublisher {
    private view: MeshView | undefined;
    private readonly listeners = new Set<(view: MeshView) => void>();
    private cancelPublish: (() => void) | undefined;

    constructor(
        private readonly table: MemberTable,
        private readonly timers: Timers,
        private readonly readState: () => {
            configuration: ConfigurationInForce | undefined;
            cutOff: readonly string[];
        },
    ) {}

    read(): MeshView {
        this.view ??= this.build();
        return this.view;
    }

    subscribe(listener: (view: MeshView) => void): () => void {
        this.listeners.add(listener);
        return () => void this.listeners.delete(listener);
    }

    /** Invalidates the cached view and schedules a notification. */
    markChanged(): void {
        this.view = undefined;
        if (this.listeners.size > 0) {
            this.cancelPublish ??= this.timers.after(PUBLISH_DELAY_MS, () => this.publish());
        }
    }

    stop(): void {
        this.cancelPublish?.();
        this.listeners.clear();
    }

    private publish(): void {
        this.cancelPublish = undefined;
        const view = this.read();
        this.listeners.forEach(listener => listener(view));
    }

    private build(): MeshView {
        const { configuration, cutOff } = this.readState();
        return {
            configuration,
            cutOffDomains: new Set(cutOff),
            members: this.table.copyRecords(),
            membersByService: collectByService(this.table.listAll()),
        };
    }
}

function collectByService(members: Iterable<Member>): ReadonlyMap<string, readonly Member[]> {
    const groups = new Map<string, Member[]>();
    for (const member of members) {
        if (member.server !== undefined && SERVING_STATES.has(member.state)) {
            const group = groups.get(member.server.service) ?? [];
            group.push(member);
            groups.set(member.server.service, group);
        }
    }
    return groups;
}
