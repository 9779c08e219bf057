/** Keeps the retry budget of each service. */
import {
  createWindowBudget,
  type WindowBudget,
  type WindowBudgetOptions,
} from './window_budget.ts';

/** Retry budgets by service, created when a service is first asked for. */
export class RetryBudgets {
  private readonly budgets = new Map<string, WindowBudget>();

  constructor(private readonly options: WindowBudgetOptions) {}

  /** Returns the budget of a service. */
  get(service: string): WindowBudget {
    const known = this.budgets.get(service);
    if (known) return known;
    const budget = createWindowBudget(this.options);
    this.budgets.set(service, budget);
    return budget;
  }
}
