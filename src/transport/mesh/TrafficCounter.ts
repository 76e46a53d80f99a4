import type { PeerIdentity } from "../../protocol/peer/index.js";
import type { ControlCounters } from "./MeshOptions.js";

/** Counts the bytes of peer messages, in total and across regions. */
export class TrafficCounter {
    private sentBytes = 0;
    private receivedBytes = 0;
    private sentBytesAcrossRegions = 0;
    private receivedBytesAcrossRegions = 0;
    private sentMessages = 0;

    constructor(private readonly region: string) {}

    recordSent(bytes: number, to: PeerIdentity | undefined): void {
        this.sentMessages++;
        this.sentBytes += bytes;
        if (to !== undefined && to.region !== this.region) {
            this.sentBytesAcrossRegions += bytes;
        }
    }

    recordReceived(bytes: number, from: PeerIdentity | undefined): void {
        this.receivedBytes += bytes;
        if (from !== undefined && from.region !== this.region) {
            this.receivedBytesAcrossRegions += bytes;
        }
    }

    read(storeCalls: number): ControlCounters {
        return {
            receivedBytes: this.receivedBytes,
            receivedBytesAcrossRegions: this.receivedBytesAcrossRegions,
            sentBytes: this.sentBytes,
            sentBytesAcrossRegions: this.sentBytesAcrossRegions,
            sentMessages: this.sentMessages,
            storeCalls,
        };
    }
}
