// Placeholder front end.
int main()
{
    return 0;
}
