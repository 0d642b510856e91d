import type {TaskName} from '../messages/index.js';
import type {PlugIn} from './types.js';

/**
 * Orders plug-ins so that each comes after what it depends on.
 *
 * @throws Error on a cycle or an unknown dependency, which are defects.
 */
export function startOrder(plugIns: readonly PlugIn[]): readonly PlugIn[] {
  const byName = new Map<TaskName, PlugIn>();
  for (const plugIn of plugIns) {
    if (byName.has(plugIn.name)) {
      throw new Error(`plug-in registered twice: ${plugIn.name}`);
    }
    byName.set(plugIn.name, plugIn);
  }
  const ordered: PlugIn[] = [];
  const done = new Set<TaskName>();
  const visiting = new Set<TaskName>();

  function visit(name: TaskName, wantedBy: string): void {
    if (done.has(name)) {
      return;
    }
    const plugIn = byName.get(name);
    if (!plugIn) {
      throw new Error(`${wantedBy} depends on unknown plug-in ${name}`);
    }
    if (visiting.has(name)) {
      throw new Error(`plug-ins depend on each other: ${name}`);
    }
    visiting.add(name);
    for (const dependency of plugIn.dependsOn) {
      visit(dependency, name);
    }
    done.add(name);
    ordered.push(plugIn);
  }

  for (const plugIn of plugIns) {
    visit(plugIn.name, 'the kernel');
  }
  return ordered;
}
