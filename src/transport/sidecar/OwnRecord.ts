import { MemberState } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import type { SidecarSettings } from "./SidecarSettings.js";

/** Builds the record of a daemon that starts at `startedAt`, in Unix milliseconds. */
export function buildMember(settings: SidecarSettings, startedAt: number): Member {
    const { failureDomain, id, linkMegabitsPerSecond, region, serverAddress, service } = settings;
    const peerAddress = settings.advertisedPeerAddress ?? settings.peerAddress;
    return {
        address: peerAddress.host,
        failureDomain,
        id,
        incarnation: startedAt,
        linkMegabitsPerSecond,
        peerPort: peerAddress.port,
        region,
        relayPort: peerAddress.port,
        revision: 0,
        server: { address: serverAddress.host, connections: 0, port: serverAddress.port, service, slots: 0 },
        state: MemberState.Live,
    };
}
