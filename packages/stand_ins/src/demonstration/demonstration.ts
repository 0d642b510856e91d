/** Running demonstration of one user's deployment. */
import type {Configuration} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {LocalDeployment} from '../core/local_deployment/index.js';
import type {Caller} from './caller.js';
import type {Reporter} from './reporter.js';
import type {TraceRecorder} from './trace_recorder.js';
import type {DemonstrationScenario} from './scenarios.js';

export interface Demonstration {
  readonly scenario: DemonstrationScenario;
  readonly deployment: LocalDeployment;
  readonly caller: Caller;
  readonly trace: TraceRecorder;
  readonly reporter: Reporter;
  readonly timers: TimerService;
  readonly configuration: Configuration;
  readonly token: string;
}
