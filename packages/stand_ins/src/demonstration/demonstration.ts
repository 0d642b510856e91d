/** A deployment that is being shown, and what is needed to show it. */
import type {Configuration} from '@ibisbeam/decision';
import type {TimerService} from '@ibisbeam/library';
import type {LocalDeployment} from '../core/local_deployment/index.js';
import type {Caller} from './caller.js';
import type {Narrator} from './narrator.js';
import type {TraceRecorder} from './trace_recorder.js';
import type {UserFacts} from './user_facts.js';

export interface Demonstration {
  readonly facts: UserFacts;
  readonly deployment: LocalDeployment;
  readonly caller: Caller;
  readonly trace: TraceRecorder;
  readonly narrator: Narrator;
  readonly timers: TimerService;
  readonly configuration: Configuration;
  readonly token: string;
}
