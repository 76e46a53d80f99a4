/** Fault switches and counters over HTTP, for demonstrations. */
import { Body, Controller, Get, Inject, Put } from "@nestjs/common";
import type { FaultSwitches, StoreCounters } from "./StoreFaults.js";
import { NO_FAULTS, StoreState } from "./StoreFaults.js";
import { StoreRefusal } from "./StoreRefusal.js";

function parseSwitches(body: unknown): Partial<FaultSwitches> {
    const switches = Object.entries((body ?? {}) as object);
    for (const [name, value] of switches) {
        const known = NO_FAULTS[name as keyof FaultSwitches];
        if (typeof value !== typeof known) {
            throw new StoreRefusal("invalid", `"${name}" is no fault switch of this kind`);
        }
    }
    return Object.fromEntries(switches);
}

@Controller()
export class FaultsController {
    constructor(@Inject(StoreState) private readonly state: StoreState) {}

    @Get("counters")
    readCounters(): StoreCounters {
        return this.state.readCounters();
    }

    @Get("faults")
    readFaults(): FaultSwitches {
        return this.state.faults;
    }

    @Put("faults")
    setFaults(@Body() body: unknown): FaultSwitches {
        this.state.setFaults(parseSwitches(body));
        return this.state.faults;
    }
}
