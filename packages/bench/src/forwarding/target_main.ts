/** Runs a stand-in target in its own process: `target_main FILE DELAY_MS`. */
import {createSystemTimerService} from '@ibisbeam/library';
import {startStandInTarget} from '@ibisbeam/stand-ins';
import {writeAnnouncement} from './announce.js';

const [, , announcementFile, delayMs] = process.argv;
const timers = createSystemTimerService();
const target = await startStandInTarget({id: 'bench', slots: 10_000, timers});
target.faults.delayMs = Number(delayMs ?? 0);
writeAnnouncement(announcementFile!, {address: target.address});
process.once('SIGTERM', () => void target.stop());
